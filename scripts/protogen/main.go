// Command protogen runs a protoc plugin on .proto files, in place of protoc:
//
//	protogen PLUGIN OUT FILE...
//
// It passes paths=source_relative to the plugin and writes its files below OUT.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: protogen PLUGIN OUT FILE...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2], os.Args[3:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func generate(plugin, out string, files []string) error {
	request, err := compile(files)
	if err != nil {
		return err
	}
	response, err := runPlugin(plugin, request)
	if err != nil {
		return err
	}
	for _, file := range response.File {
		if err := os.WriteFile(filepath.Join(out, file.GetName()), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// compile returns the plugin's input for the files, with comments and imports.
func compile(files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String("paths=source_relative"),
		// The compiler version that the committed files name.
		CompilerVersion: &pluginpb.Version{Major: proto.Int32(3), Minor: proto.Int32(21), Patch: proto.Int32(12)},
	}
	added := map[string]bool{}
	for _, file := range compiled {
		request.ProtoFile = appendFile(request.ProtoFile, file, added)
	}
	return request, nil
}

// appendFile appends a file after its imports, each file once.
func appendFile(list []*descriptorpb.FileDescriptorProto, file protoreflect.FileDescriptor, added map[string]bool) []*descriptorpb.FileDescriptorProto {
	if added[file.Path()] {
		return list
	}
	added[file.Path()] = true
	for i := range file.Imports().Len() {
		list = appendFile(list, file.Imports().Get(i).FileDescriptor, added)
	}
	return append(list, protodesc.ToFileDescriptorProto(file))
}

func runPlugin(plugin string, request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	var output bytes.Buffer
	command := exec.Command(plugin)
	command.Stdin, command.Stdout, command.Stderr = bytes.NewReader(input), &output, os.Stderr
	if err := command.Run(); err != nil {
		return nil, err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output.Bytes(), response); err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, fmt.Errorf("%s: %s", plugin, response.GetError())
	}
	return response, nil
}
