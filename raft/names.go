package raft

import "amaranthpaddle/api"

// Short names for the generated protobuf constants.
const (
	msgPreVote           = api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE
	msgPreVoteResponse   = api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	msgVote              = api.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
	msgVoteResponse      = api.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_RESPONSE
	msgAppend            = api.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND
	msgAppendResponse    = api.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE
	msgHeartbeat         = api.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT
	msgHeartbeatResponse = api.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE
	msgSnapshot          = api.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT
	msgTimeoutNow        = api.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW
	msgReadIndex         = api.RaftMessageType_RAFT_MESSAGE_TYPE_READ_INDEX
	msgReadIndexResponse = api.RaftMessageType_RAFT_MESSAGE_TYPE_READ_INDEX_RESPONSE
	msgRefused           = api.RaftMessageType_RAFT_MESSAGE_TYPE_REFUSED

	entryData       = api.EntryType_ENTRY_TYPE_DATA
	entryNoop       = api.EntryType_ENTRY_TYPE_NOOP
	entryMembership = api.EntryType_ENTRY_TYPE_MEMBERSHIP

	roleLearner = api.MemberRole_MEMBER_ROLE_LEARNER
	roleVoter   = api.MemberRole_MEMBER_ROLE_VOTER
)
