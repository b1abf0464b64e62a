/** Shapes of the operator interface, shared by the service and the command-line tool. */
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

/** What became of a write. */
export type WriteResponse =
  | {
      readonly kind: "accepted";
      readonly revision: Revision;
      /** Boxes that are heard, and those of them on which the change is in force already. */
      readonly boxes: number;
      readonly inForceOn: number;
    }
  | RevisionConflict
  | InvalidInput
  | { readonly kind: "unknown"; readonly reason: string };

/** `GET /v1/resources`. */
export interface ResourcesResponse {
  readonly offset: Offset;
  readonly resources: readonly StoredResource[];
}

/** State of one model as one box sees it. */
export interface ModelStatus {
  readonly model: string;
  readonly version: string;
  readonly ready: number;
  readonly loading: number;
  /** Ready copies of older versions. */
  readonly readyOld: number;
  /** Adapters of the model that can be called, and all that are declared. */
  readonly adaptersReady: number;
  readonly adapters: number;
}

/** State of one engine as one box sees it. */
export interface EngineStatus {
  readonly engine: string;
  readonly reported: boolean;
  readonly leaving: boolean;
  readonly role?: EngineRole;
  readonly residents: readonly Resident[];
  readonly running: number;
  readonly queued: number;
}

/** `GET /v1/status`. */
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

/** One line of `GET /v1/boxes`. */
export interface BoxSummary {
  readonly box: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly callerAddress: string;
  readonly state: "alive" | "leaving" | "suspected";
  readonly pools: readonly string[];
}

/** `GET /v1/audit`. */
export interface AuditResponse {
  readonly writes: readonly AcceptedWrite[];
  readonly actions: readonly AuditEntry[];
}

/** One event of `GET /v1/watch`. */
export type WatchEvent =
  | { readonly type: "write"; readonly write: AcceptedWrite }
  | { readonly type: "model"; readonly status: ModelStatus };
