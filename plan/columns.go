package plan

// record is the kind of thing that a row of the sheet declares.
type record string

const (
	recordPlan    record = "plan"
	recordZone    record = "zone"
	recordTeam    record = "team"
	recordService record = "service"
	recordJob     record = "job"
)

// column is the heading of a column of the sheet.
type column string

const (
	colRecord           column = "record"
	colName             column = "name"
	colNumber           column = "number"
	colDay              column = "day"
	colTimeZone         column = "time_zone"
	colLatencyWeight    column = "latency_weight"
	colRegion           column = "region"
	colState            column = "state"
	colTeam             column = "team"
	colInstances        column = "instances"
	colTasks            column = "tasks"
	colCores            column = "cores"
	colMemory           column = "memory_gib"
	colAccelerators     column = "accelerators"
	colObjective        column = "objective_ms"
	colObjectivePercent column = "objective_percent"
	colSlots            column = "slots"
	colConnections      column = "connections"
	colRunTime          column = "run_time_s"
	colDeadline         column = "deadline"
	colPriority         column = "priority"
)

// columns lists every column in the order that the documentation gives.
var columns = []column{
	colRecord, colName, colNumber, colDay, colTimeZone, colLatencyWeight, colRegion, colState,
	colTeam, colInstances, colTasks, colCores, colMemory, colAccelerators, colObjective,
	colObjectivePercent, colSlots, colConnections, colRunTime, colDeadline, colPriority,
}

// usage states which columns a record uses; true marks a required one.
var usage = map[record]map[column]bool{
	recordPlan: {colNumber: true, colDay: true, colTimeZone: false, colLatencyWeight: true},
	recordZone: {colName: true, colRegion: true, colState: true},
	recordTeam: {colName: true, colCores: true, colMemory: true, colAccelerators: false},
	recordService: {
		colName: true, colTeam: true, colInstances: true, colCores: true, colMemory: true, colAccelerators: false,
		colObjective: true, colObjectivePercent: true, colSlots: true, colConnections: true,
	},
	recordJob: {
		colName: true, colTeam: true, colTasks: true, colCores: true, colMemory: true, colAccelerators: false,
		colRunTime: true, colDeadline: false, colPriority: true,
	},
}
