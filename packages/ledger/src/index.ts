/** Client, follower and writer of the platform's log, and the state that every instance derives from it. */
export { applyRecord, OutcomeKind } from "./applyRecord";
export type { ApplyResult, RecordOutcome } from "./applyRecord";
export { createCheckpoint, createCheckpointAssembler } from "./checkpoint";
export type { CheckpointAssembler } from "./checkpoint";
export { createLogClient, LogErrorKind } from "./logClient";
export type { LogClient, LogEntry, LogError, LogPage } from "./logClient";
export { createLogFollower } from "./logFollower";
export type { AppliedRecord, LogFollower } from "./logFollower";
export { createLogWriter } from "./logWriter";
export type { LogWriter, WriteError } from "./logWriter";
export { parseRecord, RecordKind, ServerStatus } from "./records";
export type { Assignment, LogRecord, RecordBody, RecordIdentifier, ServerChange } from "./records";
export {
    createEmptyState,
    createEndedSessionPredicate,
    findSlotHolder,
    memberIdentifier,
    serverIdentifier,
} from "./state";
export type {
    EnvironmentVersion,
    LogState,
    Member,
    ServerIdentifier,
    ServerRegistration,
    ServiceTable,
    SessionPredicate,
    SlotEntry,
    SlotHolder,
} from "./state";
export { parseState } from "./stateText";
