/** Measures the folded state: memory, writes, lease renewals and snapshots. */
import {
  applyEntry,
  desiredStateOf,
  emptyState,
  type FoldedState,
  parseState,
  serialiseState,
} from "@linkfall/state-fold";
import type { Change } from "@linkfall/types";
import { createModelResource, createResourcesAtScale } from "./fleet-resources.js";
import {
  heapUsedBytes,
  formatKilobytes,
  cpuMicrosecondsPerCall,
  printRow,
  formatMicroseconds,
} from "./measure.js";

function applyWrite(state: FoldedState, id: string, changes: readonly Change[]): void {
  const record = { type: "write", id, who: "operator", at: "", changes };
  applyEntry(state, { offset: state.offset + 1, data: JSON.stringify(record) });
}

/** Measures a state of `scale` times the fleet size expected in two years. */
export async function measureState(scale: number): Promise<void> {
  const resources = createResourcesAtScale(scale);
  const before = heapUsedBytes();
  const state = emptyState();
  applyWrite(
    state,
    "b@1#1",
    resources.map((resource) => ({ action: "put", resource, base: 0 })),
  );
  const desired = desiredStateOf(state);
  const heldBytes = heapUsedBytes() - before;
  const size = `${state.resources.size} resources`;
  printRow(
    "memory of the folded state",
    size,
    `${formatKilobytes(heldBytes)}, ${formatKilobytes(heldBytes / state.resources.size)} each`,
  );
  const changedModel = createModelResource(0);
  const foldTime = await cpuMicrosecondsPerCall(20, (index) => {
    const base = state.resources.get("model/model-0")?.revision ?? 0;
    applyWrite(state, `b@1#${index + 2}`, [{ action: "put", resource: changedModel, base }]);
    return desiredStateOf(state);
  });
  printRow("one write: fold and rebuild the desired state", size, formatMicroseconds(foldTime));
  const renewal = { type: "renew", holder: "b@1", epochs: [1] };
  const renewTime = await cpuMicrosecondsPerCall(2_000, (index) => {
    const data = JSON.stringify({ ...renewal, id: `b@1#${index + 100}` });
    applyEntry(state, { offset: state.offset + 1, data });
  });
  printRow("one lease renewal folded", size, formatMicroseconds(renewTime));
  const text = serialiseState(state);
  printRow(
    "snapshot",
    size,
    `${formatKilobytes(text.length)}, ${formatKilobytes(text.length / state.resources.size)} each`,
  );
  const snapshotTime = await cpuMicrosecondsPerCall(3, () => parseState(serialiseState(state)));
  printRow("snapshot serialised and parsed", size, formatMicroseconds(snapshotTime));
  if (desired.models.size === 0) throw new Error("the desired state has no models");
}
