/** Operators who race one another. They check that an accepted change comes into force and stays. */
import { pick, sleep } from "@linkfall/kernel";
import { stateStoreName } from "@linkfall/state-store";
import {
  type Change,
  type Milliseconds,
  type Resource,
  resourceKey,
  type Revision,
} from "@linkfall/types";
import { soakAdapter, soakModel, soakResources } from "./resources.js";
import { operatorToken } from "./settings.js";
import type { World, WorldBox } from "./world.js";

const writeIntervalMs: Milliseconds = 1_800;
const inForceDeadlineMs: Milliseconds = 5_000;
const pollIntervalMs: Milliseconds = 100;

export interface Operators {
  /** Writes the first desired state; resolves when it is accepted. */
  writeInitialState(): Promise<void>;
  run(until: Milliseconds): Promise<void>;
  accepted(): number;
  conflicts(): number;
}

interface WriteResult {
  readonly kind: string;
  readonly revision?: Revision;
}

/** Creates the operators of a world. */
export function createOperators(world: World): Operators {
  const { clock, random } = world;
  const acceptedRevisions = new Map<string, Revision>();
  let accepted = 0;
  let conflicts = 0;
  let version = 1;

  const write = async (box: WorldBox, changes: readonly Change[]): Promise<WriteResult> => {
    const request = {
      method: "POST",
      path: "/v1/writes",
      headers: { authorization: `Bearer ${operatorToken}` },
      body: Buffer.from(JSON.stringify({ changes })),
      signal: new AbortController().signal,
    };
    const response = await box.process.deliver(box.box.operators.handle(request));
    const result = JSON.parse(Buffer.from(response.body as Uint8Array).toString("utf8"));
    if (result.kind === "accepted") recordAccepted(changes, result.revision);
    if (result.kind === "revision_conflict") conflicts += 1;
    return result;
  };

  const recordAccepted = (changes: readonly Change[], revision: Revision) => {
    accepted += 1;
    for (const change of changes) {
      const key = resourceKey(change.action === "put" ? change.resource : change.name);
      const acceptedBase = `${key} based on ${change.base}`;
      if (acceptedRevisions.has(acceptedBase) && acceptedRevisions.get(acceptedBase) !== revision) {
        world.violation(`two writes of ${acceptedBase} were accepted`);
      }
      acceptedRevisions.set(acceptedBase, revision);
    }
    for (const box of world.liveBoxes()) void awaitInForce(box, revision);
  };

  /** A box that no fault touches meanwhile must have the change in force in time. */
  const awaitInForce = async (box: WorldBox, revision: Revision) => {
    const start = clock.now();
    const store = box.box.kernel.find(stateStoreName);
    while (store.state().offset < revision) {
      await sleep(clock, pollIntervalMs);
      const disturbed = box.disturbances > 0 || box.disturbedAt > start - inForceDeadlineMs;
      if (disturbed || box.process.state() !== "running") return;
      if (clock.now() - start > inForceDeadlineMs) {
        world.violation(`revision ${revision} is not in force on ${box.name} after 5 s`);
        return;
      }
    }
  };

  const storedRevision = (box: WorldBox, resource: Resource): Revision =>
    box.box.kernel.find(stateStoreName).state().resources.get(resourceKey(resource))?.revision ?? 0;

  const randomResource = (): Resource => {
    const index = random.nextInt(10);
    const kind = random.nextFloat();
    if (kind < 0.2 && index < 3) return soakAdapter(index, String(++version));
    if (kind < 0.8) return soakModel(index, String(++version));
    const engine = soakResources().filter((resource) => resource.kind === "engine")[index % 6];
    const role = random.nextFloat() < 0.5 ? "batch" : "mixed";
    return { ...engine, role } as Resource;
  };

  /** Two operators change the same resource from the same revision through two boxes. */
  const writeConcurrently = async () => {
    const live = world.liveBoxes();
    if (live.length === 0) return;
    const [one, two] = [pick(random, live), pick(random, live)];
    const resource = randomResource();
    const base = storedRevision(one, resource);
    const rivals = random.nextFloat() < 0.4 ? [one, two] : [one];
    await Promise.all(rivals.map((box) => write(box, [{ action: "put", resource, base }])));
  };

  return {
    async writeInitialState() {
      const changes = soakResources().map((resource): Change => ({
        action: "put",
        resource,
        base: 0,
      }));
      for (;;) {
        const result = await write(world.boxes[0], changes);
        if (result.kind === "accepted") return;
        await sleep(clock, writeIntervalMs);
      }
    },
    async run(until) {
      while (clock.now() < until) {
        void writeConcurrently();
        await sleep(clock, 2 * writeIntervalMs * random.nextFloat());
      }
    },
    accepted: () => accepted,
    conflicts: () => conflicts,
  };
}
