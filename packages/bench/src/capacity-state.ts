/** Slopes of the folded state: memory, changes, renewals and snapshots. */
import {
  applyEntry,
  desiredStateOf,
  emptyState,
  type FoldedState,
  parseState,
  serialiseState,
} from "@linkfall/state-fold";
import type { Change } from "@linkfall/types";
import { modelResource, resourcesAt } from "./fleet-resources.js";
import { heapUsed, kb, processorTime, row, us } from "./measure.js";

function write(state: FoldedState, id: string, changes: readonly Change[]): void {
  const record = { type: "write", id, who: "operator", at: "", changes };
  applyEntry(state, { offset: state.offset + 1, data: JSON.stringify(record) });
}

/** Measures at a share of the two-year size. */
export async function measureState(scale: number): Promise<void> {
  const resources = resourcesAt(scale);
  const before = heapUsed();
  const state = emptyState();
  write(
    state,
    "b@1#1",
    resources.map((resource) => ({ action: "put", resource, base: 0 })),
  );
  const desired = desiredStateOf(state);
  const held = heapUsed() - before;
  const size = `${state.resources.size} resources`;
  row("memory of the folded state", size, `${kb(held)}, ${kb(held / state.resources.size)} each`);
  const one = modelResource(0);
  const foldTime = await processorTime(20, (index) => {
    const base = state.resources.get("model/model-0")?.revision ?? 0;
    write(state, `b@1#${index + 2}`, [{ action: "put", resource: one, base }]);
    return desiredStateOf(state);
  });
  row("one change: fold and new view", size, us(foldTime));
  const renew = { type: "renew", holder: "b@1", epochs: [1] };
  const renewTime = await processorTime(2_000, (index) => {
    const data = JSON.stringify({ ...renew, id: `b@1#${index + 100}` });
    applyEntry(state, { offset: state.offset + 1, data });
  });
  row("one renewal folded", size, us(renewTime));
  const text = serialiseState(state);
  row("snapshot", size, `${kb(text.length)}, ${kb(text.length / state.resources.size)} each`);
  const snapshotTime = await processorTime(3, () => parseState(serialiseState(state)));
  row("snapshot written and read", size, us(snapshotTime));
  if (desired.models.size === 0) throw new Error("no models");
}
