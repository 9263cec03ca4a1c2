/** The platform's log, folded into one state that every instance agrees on. */
export { createCheckpoint, createCheckpointAssembler } from "./checkpoint";
export type { CheckpointAssembler } from "./checkpoint";
export { fold, OutcomeKind } from "./fold";
export type { FoldOutcome, FoldResult } from "./fold";
export { createLogClient, LogErrorKind } from "./logClient";
export type { LogClient, LogError, LogPage, LogPosition } from "./logClient";
export { createLogFollower } from "./logFollower";
export type { FoldedRecord, LogFollower } from "./logFollower";
export { createLogWriter } from "./logWriter";
export type { LogWriter, WriteError } from "./logWriter";
export { parseRecord, RecordKind, ServerStatus } from "./records";
export type { Assignment, LogRecord, RecordBody, RecordIdentifier, ServerChange } from "./records";
export { createSessionTest, emptyState, holdingOf, memberIdentifier, serverIdentifier } from "./state";
export type {
    EnvironmentVersion,
    Holding,
    LogState,
    Member,
    ServerIdentifier,
    ServerRegistration,
    ServiceTable,
    SessionTest,
    SlotEntry,
} from "./state";
export { parseState } from "./stateText";
