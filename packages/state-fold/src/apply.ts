/** Applies records to the folded state and says what each one did. */
import { type InvalidInput, invariant, type RevisionConflict } from "@linkfall/errors";
import {
  type Change,
  type ClaimRecord,
  type Epoch,
  type HeldRecord,
  type HeldRequest,
  type IntentRecord,
  type LogEntry,
  type Offset,
  type ReleaseRecord,
  type RenewRecord,
  type Resource,
  type ResourceName,
  resourceKey,
  type SettledRecord,
  type SnapshotPartRecord,
  type StateRecord,
  type WriteRecord,
} from "@linkfall/types";
import { match } from "ts-pattern";
import { referenceProblems } from "./references.js";
import { parseRecord } from "./schemas.js";
import type { FoldedState, Lease } from "./state.js";

/** Records after which a silent process start is forgotten; none of its appends can still come. */
const writerRetentionRecords = 20_000;
const writerSweepIntervalRecords = 1_000;
/** Accepted writes that the state remembers for the audit trail. */
const maxHistoryWrites = 500;
/** Requests that the state remembers as held back or released. */
const maxHeldRequests = 1_000;

/** What one record did to the state. */
export type FoldEvent =
  | {
      readonly type: "write_accepted";
      readonly id: string;
      readonly record: WriteRecord;
      readonly revision: Offset;
    }
  | {
      readonly type: "write_rejected";
      readonly id: string;
      readonly why: RevisionConflict | InvalidInput;
    }
  | { readonly type: "lease_claimed"; readonly id: string; readonly lease: Lease }
  | { readonly type: "claim_rejected"; readonly id: string; readonly pool: string }
  | { readonly type: "lease_renewed"; readonly id: string; readonly lease: Lease }
  | { readonly type: "lease_released"; readonly id: string; readonly lease: Lease }
  | { readonly type: "intent_recorded"; readonly id: string; readonly accepted: boolean }
  | { readonly type: "request_held"; readonly id: string; readonly word: HeldRequest }
  | { readonly type: "folded"; readonly id: string }
  | { readonly type: "snapshot_part"; readonly id: string; readonly part: SnapshotPartRecord }
  | { readonly type: "bad_record"; readonly offset: Offset; readonly reason: string };

interface RecordIdentity {
  readonly writer: string;
  readonly sequence: number;
}

function identityOf(id: string): RecordIdentity {
  const mark = id.lastIndexOf("#");
  return { writer: id.slice(0, mark), sequence: Number(id.slice(mark + 1)) };
}

/** Whether the record is a repeat, or one that its writer had given up before a later one. */
function isDuplicate(state: FoldedState, identity: RecordIdentity): boolean {
  return identity.sequence <= (state.writers.get(identity.writer)?.highest ?? 0);
}

function forgetSilentWriters(state: FoldedState): void {
  if (state.offset % writerSweepIntervalRecords !== 0) return;
  for (const [writer, mark] of state.writers) {
    if (state.offset - mark.offset > writerRetentionRecords) state.writers.delete(writer);
  }
}

/** Applies the entry that follows the state's offset. A bad record changes nothing but the offset. */
export function applyEntry(state: FoldedState, entry: LogEntry): readonly FoldEvent[] {
  invariant(
    entry.offset === state.offset + 1,
    "fold-in-order",
    () => `record ${entry.offset} after ${state.offset}`,
  );
  state.offset = entry.offset;
  forgetSilentWriters(state);
  return parseRecord(entry.data).caseOf<readonly FoldEvent[]>({
    Left: (reason) => [{ type: "bad_record", offset: entry.offset, reason }],
    Right: (record) => applyRecord(state, record),
  });
}

function applyRecord(state: FoldedState, record: StateRecord): readonly FoldEvent[] {
  const identity = identityOf(record.id);
  if (isDuplicate(state, identity)) return [];
  state.writers.set(identity.writer, { highest: identity.sequence, offset: state.offset });
  return match(record)
    .with({ type: "write" }, (write) => applyWrite(state, write))
    .with({ type: "claim" }, (claim) => applyClaim(state, claim))
    .with({ type: "renew" }, (renew) => applyRenew(state, renew))
    .with({ type: "release" }, (release) => applyRelease(state, release))
    .with({ type: "intent" }, (intent) => applyIntent(state, intent))
    .with({ type: "settled" }, (settled) => applySettled(state, settled))
    .with({ type: "held" }, (held) => applyHeld(state, held))
    .with({ type: "snapshot" }, (part) => applySnapshotPart(state, part))
    .exhaustive();
}

function subjectOf(change: Change): ResourceName {
  if (change.action === "delete") return change.name;
  return { kind: change.resource.kind, name: change.resource.name };
}

function conflictOf(state: FoldedState, change: Change): RevisionConflict | undefined {
  const subject = subjectOf(change);
  const stored = state.resources.get(resourceKey(subject));
  const current = stored?.revision ?? 0;
  if (current === change.base) return undefined;
  return { kind: "revision_conflict", subject, base: change.base, current, who: stored?.who ?? "" };
}

/** Says whether a write would be accepted by the state as it stands. */
export function checkWrite(
  state: FoldedState,
  changes: readonly Change[],
): RevisionConflict | InvalidInput | undefined {
  for (const change of changes) {
    const conflict = conflictOf(state, change);
    if (conflict) return conflict;
  }
  const after = new Map<string, Resource>();
  for (const [key, stored] of state.resources) after.set(key, stored.resource);
  for (const change of changes) {
    if (change.action === "put") after.set(resourceKey(change.resource), change.resource);
    else after.delete(resourceKey(change.name));
  }
  const problems = referenceProblems(after);
  return problems.length > 0 ? { kind: "invalid_input", problems } : undefined;
}

function applyWrite(state: FoldedState, record: WriteRecord): readonly FoldEvent[] {
  const why = checkWrite(state, record.changes);
  if (why) return [{ type: "write_rejected", id: record.id, why }];
  const revision = state.offset;
  addToHistory(state, record);
  for (const change of record.changes) {
    const key = resourceKey(subjectOf(change));
    invariant(
      (state.resources.get(key)?.revision ?? 0) < revision,
      "desired-state-never-reverts",
      () => key,
    );
    if (change.action === "delete") state.resources.delete(key);
    else state.resources.set(key, { resource: change.resource, revision, who: record.who });
  }
  return [{ type: "write_accepted", id: record.id, record, revision }];
}

/** Names of the fields in which two resources differ. */
function changedFields(before: Resource | undefined, after: Resource): readonly string[] {
  const old: Partial<Record<string, unknown>> = { ...before };
  return Object.entries(after)
    .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(old[name]))
    .map(([name]) => name);
}

/** Adds the write to the history. */
function addToHistory(state: FoldedState, record: WriteRecord): void {
  const changes = record.changes.map((change) => {
    const subject = subjectOf(change);
    const before = state.resources.get(resourceKey(subject))?.resource;
    const fields = change.action === "put" ? changedFields(before, change.resource) : [];
    return { action: change.action, subject, oldRevision: change.base, fields };
  });
  state.history.push({ revision: state.offset, who: record.who, at: record.at, changes });
  if (state.history.length > maxHistoryWrites) state.history.shift();
}

function applyClaim(state: FoldedState, claim: ClaimRecord): readonly FoldEvent[] {
  const current = state.leases.get(claim.pool);
  if ((current?.touched ?? 0) !== claim.supersedes) {
    return [{ type: "claim_rejected", id: claim.id, pool: claim.pool }];
  }
  const epoch: Epoch = state.offset;
  invariant(epoch > (current?.epoch ?? 0), "epochs-grow", () => claim.pool);
  const lease: Lease = {
    pool: claim.pool,
    epoch,
    holder: claim.holder,
    holderAddress: claim.holderAddress,
    leaseMs: claim.leaseMs,
    touched: state.offset,
    released: false,
  };
  state.leases.set(claim.pool, lease);
  return [{ type: "lease_claimed", id: claim.id, lease }];
}

/** The leases that the holder names and still has. */
function heldLeases(state: FoldedState, record: RenewRecord | ReleaseRecord): readonly Lease[] {
  return [...state.leases.values()].filter(
    (lease) =>
      lease.holder === record.holder && !lease.released && record.epochs.includes(lease.epoch),
  );
}

function applyRenew(state: FoldedState, record: RenewRecord): readonly FoldEvent[] {
  const renewed = heldLeases(state, record).map((lease) => ({ ...lease, touched: state.offset }));
  for (const lease of renewed) state.leases.set(lease.pool, lease);
  const events = renewed.map((lease) => ({ type: "lease_renewed", id: record.id, lease }) as const);
  return [...events, { type: "folded", id: record.id }];
}

function applyRelease(state: FoldedState, record: ReleaseRecord): readonly FoldEvent[] {
  const released = heldLeases(state, record).map((lease) => ({
    ...lease,
    touched: state.offset,
    released: true,
  }));
  for (const lease of released) state.leases.set(lease.pool, lease);
  const events = released.map(
    (lease) => ({ type: "lease_released", id: record.id, lease }) as const,
  );
  return [...events, { type: "folded", id: record.id }];
}

/** An intent of a superseded holder is void: it must not send the orders. */
function applyIntent(state: FoldedState, record: IntentRecord): readonly FoldEvent[] {
  const accepted = state.leases.get(record.pool)?.epoch === record.epoch;
  if (accepted) {
    for (const order of record.orders) {
      state.intents.set(order.id, { pool: record.pool, order, offset: state.offset });
    }
  }
  return [{ type: "intent_recorded", id: record.id, accepted }];
}

function applySettled(state: FoldedState, record: SettledRecord): readonly FoldEvent[] {
  for (const settlement of record.settlements) {
    state.intents.delete(settlement.orderId);
    const known = state.settledThrough.get(settlement.engine);
    const newer =
      known?.engineIncarnation !== settlement.engineIncarnation ||
      known.sequence < settlement.sequence;
    if (newer) {
      state.settledThrough.set(settlement.engine, {
        engineIncarnation: settlement.engineIncarnation,
        sequence: settlement.sequence,
      });
    }
  }
  return [{ type: "folded", id: record.id }];
}

/** The last part completes a snapshot, since a writer appends the parts in their order. */
/** An older word changes nothing: two boxes may decide on one request at a time. */
function applyHeld(state: FoldedState, { id, word }: HeldRecord): readonly FoldEvent[] {
  const known = state.heldRequests.get(word.request);
  if (known && known.revision >= word.revision) return [{ type: "folded", id }];
  state.heldRequests.delete(word.request);
  state.heldRequests.set(word.request, word);
  const [oldest] = state.heldRequests.keys();
  if (state.heldRequests.size > maxHeldRequests) state.heldRequests.delete(oldest);
  return [{ type: "request_held", id, word }];
}

function applySnapshotPart(state: FoldedState, part: SnapshotPartRecord): readonly FoldEvent[] {
  if (part.index === part.count - 1) {
    state.newestSnapshot = Math.max(state.newestSnapshot, part.asOf);
  }
  return [{ type: "snapshot_part", id: part.id, part }];
}
