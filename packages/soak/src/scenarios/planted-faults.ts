/** Mutations of the compiled code that disable one safeguard each. The soak tests must detect every one. */
import type { FaultName } from "./faults.js";

/** A replacement of text in a compiled file. */
export interface PlantedEdit {
  /** Path of the compiled file, relative to the packages folder. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

/** A mutation and the tests that must detect it. */
export interface PlantedFault extends PlantedEdit {
  readonly name: string;
  /** Row of docs/PROMISES.md that the safeguard belongs to. */
  readonly promise: string;
  /** Second safeguard to disable if either one is sufficient. */
  readonly alsoEdit?: PlantedEdit;
  /** Faults to inject; all by default. */
  readonly faults?: readonly FaultName[];
  /** Scenario that must fail, for mutations that random runs rarely detect. */
  readonly scenario?: string;
}

/** Line that a run prints when it loads the file with its mutation. */
export const plantedLine = (file: string): string => `planted in ${file}`;

/** Returns the edits of a mutation. */
export function editsOf(fault: PlantedFault): readonly PlantedEdit[] {
  return fault.alsoEdit ? [fault, fault.alsoEdit] : [fault];
}

/** All mutations; each is tested in a run of its own. */
export const plantedFaults: readonly PlantedFault[] = [
  {
    name: "unloads-repeated-blindly",
    promise: "reachability",
    file: "pool-control/dist/order-sender.js",
    find: 'if (order.kind === "unload" && !isServedElsewhere(order))',
    replace: "if (false)",
    scenario: "A lost unload is sent again only while another copy serves the model",
  },
  {
    name: "boxes-forgotten-during-an-outage",
    promise: "configuration",
    file: "membership/dist/electorate.js",
    find: "size = logReachable ? boxes : Math.max(size, boxes);",
    replace: "if (logReachable) size = boxes;",
    scenario: "A box that starts during a log outage and is then isolated stops serving",
  },
  {
    name: "holders-addresses-not-used",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: ", ...log.holderAddresses()]",
    replace: "]",
    scenario: "Boxes that start while the box list is down find each other through the log",
  },
  {
    name: "only-direct-word-confirms-an-outage",
    promise: "configuration",
    file: "membership/dist/membership.js",
    find: "countHeardWithin: (ms) => 1 + table.countHeardWithin(ms, clock.now()),",
    replace: "countHeardWithin: () => summaries.recent().length + 1,",
    scenario:
      "Boxes with few direct heartbeats do not mistake a log outage for a network partition",
  },
  {
    name: "relayed-reports-taken-for-new",
    promise: "leaving",
    file: "report-relay/dist/incoming.js",
    find: "requestedAt: askedAt - ageMs",
    replace: "requestedAt: askedAt",
    scenario: "A report reader that cannot reach an engine does not relay old reports as new",
  },
  {
    name: "only-the-reader-reads",
    promise: "reachability",
    file: "target-watch/dist/index.js",
    find: "return !isFresh(reports.get(engine.name), settings.report_stale_ms * maxRelayedAgeShare);",
    replace: "return false;",
    scenario: "Boxes keep using an engine that its only report reader can no longer reach",
  },
  {
    name: "ledger-forgets-open-orders",
    promise: "memory",
    file: "ledger/dist/index.js",
    find: "const acceleratorOrders = unresolved.filter(",
    replace: "const acceleratorOrders = [].filter(",
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
    find: "const isRaisedOn = (engine) => {",
    replace: "const isRaisedOn = (engine) => { return true;",
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
    find: "const readyCount = pool.readyCopies(currentArtifact(view)).length;\n        const outdated",
    replace: "const readyCount = 9;\n        const outdated",
  },
  {
    name: "weight-store-limit-off",
    promise: "reachability",
    file: "pool-control/dist/store-load-limiter.js",
    find: "return activeLoads < current.loadsAtOnce && bucket.take();",
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
    find: "if (token.position < nextPosition)",
    replace: "if (false)",
    alsoEdit: {
      file: "completion/dist/attempt.js",
      find: "`?from=${input.progress.nextPosition}`",
      replace: "`?from=0`",
    },
    faults: ["poorLinks"],
  },
  {
    name: "caller-gone-not-noticed",
    promise: "whole answers",
    file: "completion/dist/completion.js",
    find: "const onCallerGone = () => abortController.abort();",
    replace: "const onCallerGone = () => undefined;",
    scenario: "A caller that disconnects cancels its request",
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
    file: "plain-call/dist/call-refusals.js",
    find: "if (!failure.mayHaveArrived)",
    replace: "if (true)",
    faults: ["poorLinks"],
  },
  {
    name: "owner-does-not-remember",
    promise: "at most once",
    file: "once/dist/once-memory.js",
    find: "const existing = entries.get(key);",
    replace: "entries.delete(key); const existing = undefined;",
  },
  {
    name: "every-box-owns-every-ticket",
    promise: "at most once",
    file: "caller-service/dist/owner-route.js",
    find: "if (id.owner === incarnation)",
    replace: "if (true)",
    alsoEdit: {
      file: "once/dist/tickets.js",
      find: "return actual.length ===",
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
    file: "membership/dist/exchange.js",
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
    file: "membership/dist/exchange.js",
    find: "if (pendingAddresses.has(address))",
    replace: "if (pendingAddresses.size > 0)",
    faults: ["pauseBox", "cutFromLog"],
  },
  {
    name: "notices-of-leaving-not-heeded",
    promise: "leaving targets of the users' platform",
    file: "fleet/dist/fleet.js",
    find: "leavingTargets.onNotice((notice, source) =>",
    replace: "void ((notice, source) =>",
    scenario: "A target that says in a response that it leaves stays leaving",
  },
  {
    name: "resting-targets-given-back",
    promise: "a target that asks for a rest",
    file: "fleet/dist/fleet.js",
    find: "!target.listed.leaving && acceptsInMs(state, target) === 0",
    replace: "!target.listed.leaving",
    scenario: "Targets that rest get no requests when no other is left",
  },
  {
    name: "generations-of-the-list-not-compared",
    promise: "a store that comes back from an older copy",
    file: "types/dist/target-list.js",
    find: "if (left.generation !== right.generation)",
    replace: "if (false)",
    scenario: "Changes are applied after the store has come back from an older copy",
  },
  {
    name: "epochs-without-generation",
    promise: "a store that comes back from an older copy",
    file: "order-lease/dist/claim.js",
    find: "return generation * epochsPerGeneration + offset + 1;",
    replace: "return offset + 1;",
    scenario: "A claim that the store has lost is made again under a higher epoch",
  },
  {
    name: "ends-inside-events-not-heeded",
    promise: "whole answers",
    file: "forwarding/dist/attempt.js",
    find: "splitter.isInsideEvent() ? splitter.restBytes() : 0",
    replace: "0",
    scenario: "A resumable stream that ends inside an event continues at another server",
  },
  {
    name: "resets-taken-for-ends",
    promise: "whole answers",
    file: "connection-reset/dist/index.js",
    find: "!socket.writableEnded && socket.remoteAddress === undefined",
    replace: "false",
    scenario: "A response without a length that ends with a reset is truncated",
  },
  {
    name: "any-status-passes",
    promise: "an answer costs its own request at most",
    file: "forwarding/dist/response-check.js",
    find: "if (!isFinalStatus(status))",
    replace: "if (false)",
    scenario: "An answer with a status beyond 599 gets a gateway error",
  },
  {
    name: "exceptions-reach-the-event-loop",
    promise: "an answer costs its own request at most",
    file: "forwarding/dist/attempt.js",
    find: "settleDefect(defect);",
    replace: "throw defect;",
    scenario: "An exception as the head of a stream is read ends the attempt as lost",
  },
  {
    name: "unsigned-successes-pass",
    promise: "whole answers",
    file: "forwarding/dist/response-check.js",
    find: "!(metadata.isSigned && isNamed)",
    replace: "false",
    scenario: "A repeatable request that gets a foreign page at one server is served by another",
  },
  {
    name: "chunks-delivered-alone",
    promise: "an answer costs its own request at most",
    file: "chunk-buffer/dist/deliver-reads.js",
    find: "gathered.append(chunk);",
    replace: "gathered.append(chunk); flush();",
    scenario: "The chunks of a read are delivered together",
  },
  {
    name: "streams-not-recorded",
    promise: "a stream goes on at the software version that began it",
    file: "stream-versions/dist/stream-versions.js",
    find: "if (record.origin?.resumable)",
    replace: "if (false)",
    scenario: "Streams are known after all boxes were killed",
  },
  {
    name: "any-header-line-is-sent",
    promise: "a request costs its own caller at most",
    file: "entry-box/dist/handle-request.js",
    find: "findUnwritableHeader(request.headers) ??",
    replace: "undefined ??",
    scenario: "A request with a header line that cannot be written takes no server out of use",
  },
  {
    name: "any-header-line-passes",
    promise: "an answer costs its own request at most",
    file: "forwarding/dist/response-check.js",
    find: "if (findUnwritableHeader(headers) !== undefined)",
    replace: "if (false)",
    scenario: "An answer with a header line that cannot be written is no exception",
  },
  {
    name: "incomplete-bodies-keep-their-room",
    promise: "clients that do not keep to the limits cost others nothing",
    file: "held-bytes/dist/held-bytes.js",
    find: "dropIncomplete(body, further);",
    replace: "false;",
    scenario: "Incomplete bodies give way, the largest one of which nothing arrives first",
  },
  {
    name: "connections-have-no-bound",
    promise: "clients that do not keep to the limits cost others nothing",
    file: "connection-bounds/dist/bound-connections.js",
    find: "table.size() <= options.maxConnections",
    replace: "true",
    scenario: "The connections that do nothing for longest give way",
  },
  {
    name: "requests-sent-ahead-begin-at-once",
    promise: "clients that do not keep to the limits cost others nothing",
    file: "connection-bounds/dist/request-order.js",
    find: "connection.early.push({ message, response });",
    replace: "return begin(connection, { message, response });",
    scenario: "Requests that are sent ahead are begun one after the other",
  },
  {
    name: "bytes-outside-of-requests-are-read",
    promise: "clients that do not keep to the limits cost others nothing",
    file: "connection-bounds/dist/bound-connections.js",
    find: "connection.bytesOutside > maxBytesOutside",
    replace: "false",
    scenario: "A client that sends bytes behind a request to switch the protocol is cut off",
  },
  {
    name: "reads-take-no-turns",
    promise: "clients that do not keep to the limits cost others nothing",
    file: "connection-bounds/dist/read-turns.js",
    find: "while (isWaiting() && (ownMs < ownShareMs || !isBusy()))",
    replace: "while (isWaiting())",
    scenario:
      "A read whose parsing takes long waits for its turn, and short requests of others do not wait for it",
  },
];
