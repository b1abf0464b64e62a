/** Faults planted in the compiled program: each must make a run fail, or its guard is not proved. */
import type { FaultName } from "./faults.js";

/** One change of compiled text. */
export interface PlantedEdit {
  /** Compiled file, from the packages folder. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

export interface PlantedFault extends PlantedEdit {
  readonly name: string;
  /** Row of docs/PROMISES.md that the guard belongs to. */
  readonly promise: string;
  /** A second guard that has to go too where one alone suffices. */
  readonly alsoEdit?: PlantedEdit;
  /** Faults that bring it out; all where none are named. */
  readonly faults?: readonly FaultName[];
  /** The scenario that must fail, where seeds meet the case too seldom. */
  readonly scenario?: string;
}

/** Guards taken out one at a time. */
export const plantedFaults: readonly PlantedFault[] = [
  {
    name: "unloads-repeated-blindly",
    promise: "reachability",
    file: "pool-control/dist/order-sender.js",
    find: 'if (order.kind === "unload" && !servedElsewhere(order))',
    replace: "if (false)",
    scenario: "All faults, alone and in pairs: seed 100589",
  },
  {
    name: "boxes-forgotten-during-an-outage",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: "electorate = freshMs() <= heardMs ? boxes : Math.max(electorate, boxes);",
    replace: "if (freshMs() <= heardMs) electorate = boxes;",
    scenario: "A box that started during an outage of the log and is then cut off stops serving",
  },
  {
    name: "holders-addresses-not-used",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: ", ...holderAddresses()]",
    replace: "]",
    scenario: "Boxes that start while the platform's list is out find each other through the log",
  },
  {
    name: "only-direct-word-confirms-an-outage",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: "const aliveBoxes = membership.alive().length;",
    replace: "const aliveBoxes = heard.lately().length + 1;",
    scenario:
      "In a fleet where each box hears few others directly, an outage of the log is not taken for a cut",
  },
  {
    name: "relayed-reports-taken-for-new",
    promise: "leaving",
    file: "report-relay/dist/incoming.js",
    find: "requestedAt: askedAt - ageMs",
    replace: "requestedAt: askedAt",
    scenario: "A reader that cannot reach an engine does not pass old word of it on as new",
  },
  {
    name: "only-the-reader-reads",
    promise: "reachability",
    file: "target-watch/dist/index.js",
    find: "return !isFresh(reports.get(engine.name), settings.report_stale_ms * ownReadShare);",
    replace: "return false;",
    scenario: "Boxes go on serving an engine whose only reader cannot reach it any more",
  },
  {
    name: "ledger-forgets-open-orders",
    promise: "memory",
    file: "ledger/dist/index.js",
    find: "const here = unresolved.filter(",
    replace: "const here = [].filter(",
  },
  {
    name: "unfenced-orders-without-intents",
    promise: "memory",
    file: "pool-control/dist/pool-session.js",
    find: "const unfenced = orders.filter((order) => !fenced.includes(order));",
    replace:
      "const unfenced = []; fenced.push(...orders.filter((order) => !fenced.includes(order)));",
    faults: ["lateOrders", "killBox", "pauseBox", "logSlow", "poorLinks"],
  },
  {
    name: "fence-not-raised",
    promise: "memory",
    file: "pool-control/dist/fences.js",
    find: "const standsOn = (engine) => {",
    replace: "const standsOn = (engine) => { return true;",
    faults: ["lateOrders", "pauseHolder", "killHolder"],
  },
  {
    name: "spare-copies-not-checked",
    promise: "reachability",
    file: "placement/dist/make-room.js",
    find: "if (others.length === 0)\n        return false;",
    replace: "",
  },
  {
    name: "old-version-goes-first",
    promise: "reachability",
    file: "placement/dist/plan.js",
    find: "const ready = pool.readyCopies(currentArtifact(view)).length;\n        const old",
    replace: "const ready = 9;\n        const old",
  },
  {
    name: "weight-store-limit-off",
    promise: "reachability",
    file: "pool-control/dist/load-slots.js",
    find: "return underWay < current.loadsAtOnce && bucket.take();",
    replace: "return true;",
  },
  {
    name: "cut-stream-taken-for-whole",
    promise: "whole answers",
    file: "completion/dist/engine-stream.js",
    find: 'return { kind: "cut", reason: part.extract().reason };',
    replace: 'return { kind: "complete" };',
  },
  {
    name: "positions-not-compared",
    promise: "whole answers",
    file: "completion/dist/engine-stream.js",
    find: "if (token.position < next)",
    replace: "if (false)",
    alsoEdit: {
      file: "completion/dist/attempt.js",
      find: "`?from=${input.progress.next}`",
      replace: "`?from=0`",
    },
    faults: ["poorLinks"],
  },
  {
    name: "caller-gone-not-noticed",
    promise: "whole answers",
    file: "completion/dist/completion.js",
    find: "const onGone = () => giveUp.abort();",
    replace: "const onGone = () => undefined;",
    scenario: "A caller that goes cancels its work",
  },
  {
    name: "lost-request-called-not-run",
    promise: "not run is true",
    file: "completion/dist/attempt.js",
    find: "if (mayHaveArrived)",
    replace: "if (false)",
    faults: ["poorLinks", "pauseBox"],
  },
  {
    name: "lost-call-called-not-run",
    promise: "not run is true",
    file: "plain-call/dist/index.js",
    find: "if (!failure.mayHaveArrived)",
    replace: "if (true)",
    faults: ["poorLinks"],
  },
  {
    name: "owner-does-not-remember",
    promise: "at most once",
    file: "once/dist/once-memory.js",
    find: "const known = entries.get(key);",
    replace: "entries.delete(key); const known = undefined;",
  },
  {
    name: "every-box-owns-every-ticket",
    promise: "at most once",
    file: "caller-service/dist/owner-route.js",
    find: "if (id.owner === incarnation)",
    replace: "if (true)",
    alsoEdit: {
      file: "once/dist/tickets.js",
      find: "return given.length ===",
      replace: "return true ||",
    },
  },
  {
    name: "lost-request-tried-again",
    promise: "at most once",
    file: "completion/dist/completion.js",
    find: "if (progress.mayHaveRun && !job.repeatable)",
    replace: "if (false)",
    faults: ["poorLinks", "stopEngine", "loseDomain"],
  },
  {
    name: "leaving-targets-not-noticed",
    promise: "leaving targets",
    file: "target-watch/dist/index.js",
    find: "isLeaving(target) {",
    replace: "isLeaving(target) { return false;",
    faults: ["engineLeaves"],
  },
  {
    name: "old-reports-trusted",
    promise: "leaving targets",
    file: "replicas/dist/index.js",
    find: "if (clock.now() - watched.requestedAt > staleMs)",
    replace: "if (false)",
    scenario: "A box that was paused sends nothing",
  },
  {
    name: "stop-does-not-wait-for-requests",
    promise: "planned stop",
    file: "box/dist/create-box.js",
    find: "while (callers.open() > 0)",
    replace: "while (false)",
    faults: ["drainBox"],
  },
  {
    name: "stop-does-not-wait-for-answers-to-end",
    promise: "planned stop",
    file: "box/dist/create-box.js",
    find: "while (answersEndInMs() > 0)",
    replace: "while (false)",
    faults: ["drainBox"],
  },
  {
    name: "revisions-not-compared",
    promise: "configuration",
    file: "state-fold/dist/apply.js",
    find: "if (current === change.base)",
    replace: "if (true)",
  },
  {
    name: "records-not-relayed",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: "store.ingest(reply.records);",
    replace: "reply.records.length = 0; reply.summary.offset = 0;",
    faults: ["cutFromLog"],
  },
  {
    name: "cut-off-box-serves-on",
    promise: "configuration",
    file: "membership/dist/isolation.js",
    find: "return !majorityConfirms;",
    replace: "return false;",
    faults: ["isolateBox"],
  },
  {
    name: "rounds-wait-for-all-peers",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: "if (beating.has(address))",
    replace: "if (beating.size > 0)",
    faults: ["pauseBox", "cutFromLog"],
  },
];
