/** Types of the operator API, shared by the service and its clients. */
import type { InvalidInput, RevisionConflict } from "@linkfall/errors";
import type { SessionStatus } from "@linkfall/pool-control";
import type { AcceptedWrite } from "@linkfall/state-fold";
import type {
  AuditEntry,
  Change,
  EngineRole,
  Offset,
  Resident,
  Revision,
  StoredResource,
} from "@linkfall/types";
import type { DrainStatus } from "./drain-status.js";

/** Body of `POST /v1/writes`. */
export interface WriteRequest {
  readonly changes: readonly Change[];
}

/** Response to `POST /v1/writes`. */
export type WriteResponse =
  | {
      readonly kind: "accepted";
      readonly revision: Revision;
      /** Number of reachable boxes. */
      readonly boxes: number;
      /** Number of those that have applied the change. */
      readonly inForceOn: number;
    }
  | RevisionConflict
  | InvalidInput
  | { readonly kind: "unknown"; readonly reason: string };

/** Response to `GET /v1/resources`. */
export interface ResourcesResponse {
  readonly offset: Offset;
  readonly resources: readonly StoredResource[];
}

/** State of a model as observed by one box. */
export interface ModelStatus {
  readonly model: string;
  readonly version: string;
  readonly ready: number;
  readonly loading: number;
  /** Number of ready replicas of older versions. */
  readonly readyOld: number;
  /** Number of the model's adapters that have a serving replica. */
  readonly adaptersReady: number;
  /** Number of the model's declared adapters. */
  readonly adapters: number;
}

/** State of an engine as observed by one box. */
export interface EngineStatus {
  readonly engine: string;
  readonly reported: boolean;
  readonly leaving: boolean;
  readonly role?: EngineRole;
  readonly residents: readonly Resident[];
  readonly running: number;
  readonly queued: number;
}

/** Response to `GET /v1/status`. */
export interface StatusResponse {
  readonly box: string;
  readonly offset: Offset;
  readonly ready: boolean;
  readonly isolated: boolean;
  readonly drain: DrainStatus;
  readonly sessions: readonly SessionStatus[];
  readonly models: readonly ModelStatus[];
  readonly engines: readonly EngineStatus[];
}

/** An entry of the response to `GET /v1/boxes`. */
export interface BoxSummary {
  readonly box: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly callerAddress: string;
  readonly state: "alive" | "leaving" | "suspected";
  readonly pools: readonly string[];
}

/** Response to `GET /v1/audit`. */
export interface AuditResponse {
  readonly writes: readonly AcceptedWrite[];
  readonly actions: readonly AuditEntry[];
}

/** An event of the stream of `GET /v1/watch`. */
export type WatchEvent =
  | { readonly type: "write"; readonly write: AcceptedWrite }
  | { readonly type: "model"; readonly status: ModelStatus };
