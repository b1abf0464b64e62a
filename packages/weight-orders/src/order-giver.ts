/** Gives the orders of the plan while this box holds the right to, and settles each before the next. */
import { type Fleet, isEjected, type TargetBelief } from "@linkfall/fleet";
import { invariant } from "@linkfall/errors";
import { clockName, type Kernel, type Service, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { ModelDemand } from "@linkfall/model-demand";
import type { OrderLease } from "@linkfall/order-lease";
import type { RoutedEnginePort } from "@linkfall/ports";
import type {
  EngineShape,
  Epoch,
  FencedOrder,
  Milliseconds,
  OrderAnswer,
  RoutedConfiguration,
  WeightOrder,
} from "@linkfall/types";
import {
  type AdapterNeed,
  adaptersTaken,
  type EngineView,
  planAdapters,
  planMoves,
  type PlanRules,
  usedMb,
  type WeightMove,
} from "@linkfall/weight-plan";
import { type EngineWork, isPending, nextStep } from "./engine-work.js";
import { createStoreLoadWindow } from "./store-loads.js";
import { toEngineView, toNeeds } from "./views.js";

export interface OrderRules {
  readonly plan: PlanRules;
  /** How often engines without a move are asked for their state. */
  readonly stateMs: Milliseconds;
  /** How often an engine with a move is asked. */
  readonly busyStateMs: Milliseconds;
  /** After which an order that shows no effect is sent again. */
  readonly resendMs: Milliseconds;
  /** After which a move is given up. */
  readonly giveUpMs: Milliseconds;
}

export interface OrderGiverInput {
  readonly self: string;
  readonly fleet: Fleet;
  readonly engines: RoutedEnginePort;
  readonly lease: OrderLease;
  readonly rules: OrderRules;
  configuration(): RoutedConfiguration | undefined;
  /** Demand of all boxes together. */
  demand(): readonly ModelDemand[];
  /** Called when other boxes should hear of a change at once. */
  announce(): void;
}

export interface OrderGiver extends Service {
  /** Models that are about to be dropped, by engine. */
  withheld(): ReadonlyMap<string, readonly string[]>;
  /** When models are expected to be there, in milliseconds from now, by `service model`. */
  expected(): Readonly<Record<string, Milliseconds>>;
  /** Looks at demand now and not at the next tick. */
  hurry(): void;
}

export const orderGiverName = serviceName<OrderGiver>("order-giver");

const tickMs: Milliseconds = 50;
/** What an unload takes with the reports that show its end. */
const unloadMs: Milliseconds = 300;
/** A load that should have ended may still take this long. */
const leastLeftMs: Milliseconds = 100;

/** An order about an adapter whose effect has not been seen. */
interface AdapterOrder {
  /** `model/adapter`. */
  readonly key: string;
  readonly after: number;
  readonly until: Milliseconds;
}

interface GiverState {
  readonly work: Map<string, EngineWork>;
  readonly asked: Map<string, Milliseconds>;
  readonly asking: Set<string>;
  readonly ordering: Set<string>;
  readonly adapterUse: Map<string, Milliseconds>;
  /** When each model was last asked for, by `service model`. */
  readonly lastAsked: Map<string, Milliseconds>;
  /** Sequence that an engine has to show before it gets its next adapter order. */
  readonly adapterOrders: Map<string, AdapterOrder>;
  epoch: Epoch | undefined;
  stopped: boolean;
}

export function createOrderGiver(kernel: Kernel, input: OrderGiverInput): OrderGiver {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const { fleet, rules } = input;
  const loads = createStoreLoadWindow();
  const state: GiverState = {
    work: new Map(),
    asked: new Map(),
    asking: new Set(),
    ordering: new Set(),
    adapterUse: new Map(),
    lastAsked: new Map(),
    adapterOrders: new Map(),
    epoch: undefined,
    stopped: false,
  };

  const shapeOf = (belief: TargetBelief): EngineShape | undefined =>
    input.configuration()?.services.get(belief.listed.service)?.engine;

  const engines = (): readonly TargetBelief[] =>
    fleet.all().filter((belief) => shapeOf(belief) !== undefined && !belief.listed.leaving);

  const askState = async (belief: TargetBelief) => {
    const { id } = belief.listed;
    if (state.asking.has(id)) return;
    state.asking.add(id);
    state.asked.set(id, clock.now());
    const sentAt = clock.now();
    const answer = await input.engines.state(belief.listed);
    state.asking.delete(id);
    answer.ifRight((read) => {
      const before = belief.holdings.sequence;
      fleet.takeState(id, read, clock.now() - sentAt);
      if (belief.holdings.sequence !== before) input.announce();
    });
  };

  const askDue = () => {
    const now = clock.now();
    for (const belief of engines()) {
      const { id } = belief.listed;
      const busy =
        state.work.has(id) ||
        pendingAdapter(belief) !== undefined ||
        (belief.state?.adaptersComing.length ?? 0) > 0;
      const every = busy ? rules.busyStateMs : rules.stateMs;
      if (now - (state.asked.get(id) ?? -Infinity) >= every) void askState(belief);
    }
  };

  /** Whether an order leaves the engine within its memory and its adapter places. */
  const fits = (belief: TargetBelief, shape: EngineShape, order: WeightOrder): boolean => {
    if (order.action !== "load") return true;
    const coming = belief.state?.adaptersComing ?? [];
    const held = { residents: belief.holdings.models, adaptersComing: coming };
    const model = shape.models.get(order.model);
    const addedMb = order.adapter === undefined ? model?.memoryMb : model?.adapterMb;
    const totalMb = usedMb(held, shape.models) + (addedMb ?? Infinity);
    if (totalMb > shape.memoryMb) return false;
    return order.adapter === undefined || adaptersTaken(held) < shape.adapterSlots;
  };

  const noteAnswer = (order: FencedOrder, id: string, answer: OrderAnswer) => {
    metrics.count("linkfall_orders_total", "Orders by answer.", { action: order.action, answer });
    logger.event("orderAnswered", {
      target: id,
      action: order.action,
      model: order.model,
      adapter: order.adapter,
      expected: order.expectedSequence,
      epoch: order.epoch,
      answer,
    });
    if (answer === "fenced") input.lease.refused(order.epoch);
  };

  const give = async (belief: TargetBelief, wanted: WeightOrder, epoch: Epoch) => {
    const { id } = belief.listed;
    const shape = shapeOf(belief);
    if (!shape || state.ordering.has(id)) return;
    invariant(fits(belief, shape, wanted), "weights-fit", () => `${id} ${wanted.model}`);
    const expectedSequence = belief.holdings.sequence;
    const order: FencedOrder = { ...wanted, expectedSequence, epoch, holder: input.self };
    const work = state.work.get(id);
    const sent = { order, at: clock.now(), answered: false };
    if (work && wanted.adapter === undefined) work.sent = sent;
    if (wanted.adapter !== undefined) {
      const until = clock.now() + rules.resendMs;
      const key = `${wanted.model}/${wanted.adapter}`;
      state.adapterOrders.set(id, { key, after: expectedSequence, until });
    }
    if (work?.move.source === "store" && wanted.action === "load" && wanted.adapter === undefined) {
      loads.began(clock.now());
    }
    state.ordering.add(id);
    const answer = await input.engines.order(belief.listed, order);
    state.ordering.delete(id);
    sent.answered = answer !== "unanswered";
    noteAnswer(order, id, answer);
    if (answer === "gone") fleet.unreachable(id, "another start has its address");
    if (answer === "conflict" || answer === "refused" || answer === "gone") {
      state.adapterOrders.delete(id);
      dropWork(id, answer);
    }
    void askState(belief);
  };

  const dropWork = (id: string, why: string) => {
    const work = state.work.get(id);
    if (!work) return;
    state.work.delete(id);
    logger.event("moveEnded", { target: id, model: work.move.load, why });
    input.announce();
  };

  const advance = (belief: TargetBelief, work: EngineWork, epoch: Epoch) => {
    const { id } = belief.listed;
    const now = clock.now();
    if (!belief.state || state.ordering.has(id)) return;
    const word = {
      sequence: belief.holdings.sequence,
      busy: belief.state.busy,
      models: belief.holdings.models.map((model) => model.name),
    };
    if (now - work.begunAt > rules.giveUpMs) return dropWork(id, "took too long");
    if (isPending(work, word, now, rules.resendMs)) return;
    const next = nextStep(work.move, word);
    if (next.kind === "done") return dropWork(id, "done");
    if (next.kind !== "order") return;
    // An order that was carried out late may have filled the place since the move was planned.
    const shape = shapeOf(belief);
    if (!shape || !fits(belief, shape, next.order)) return dropWork(id, "no longer fits");
    void give(belief, next.order, epoch);
  };

  const begin = (move: WeightMove) => {
    state.work.set(move.engine, { move, begunAt: clock.now() });
    metrics.count("linkfall_loads_total", "Loads begun, by source.", { source: move.source });
    logger.event("moveBegun", {
      target: move.engine,
      model: move.load,
      victims: move.victims.join(" "),
      source: move.source,
      reason: move.reason,
    });
  };

  /** The order about an adapter whose effect on this engine has yet to be seen. */
  const pendingAdapter = (belief: TargetBelief): AdapterOrder | undefined => {
    const pending = state.adapterOrders.get(belief.listed.id);
    if (!pending || clock.now() >= pending.until) return undefined;
    return belief.holdings.sequence <= pending.after ? pending : undefined;
  };

  const viewOf = (belief: TargetBelief, shape: EngineShape): EngineView | undefined => {
    const work = state.work.get(belief.listed.id);
    const view = toEngineView(belief, shape, work, work ? expectedOf(work) : 0);
    const pending = pendingAdapter(belief);
    if (!view || !pending) return view;
    const adaptersComing = [...view.adaptersComing, pending.key];
    return { ...view, adaptersComing, freeInMs: Math.max(view.freeInMs, leastLeftMs) };
  };

  const viewsOf = (service: string, shape: EngineShape): readonly EngineView[] =>
    engines()
      .filter((belief) => belief.listed.service === service && belief.missingSince === undefined)
      .filter((belief) => !isEjected(belief.health, clock.now()))
      .flatMap((belief) => viewOf(belief, shape) ?? []);

  const adapterNeeds = (demand: readonly ModelDemand[], service: string): AdapterNeed[] =>
    demand
      .filter((entry) => entry.service === service)
      .flatMap((entry) =>
        Object.entries(entry.waitingAdapters).map(([adapter, waiting]) => {
          state.adapterUse.set(`${entry.model}/${adapter}`, clock.now());
          return { model: entry.model, adapter, waiting };
        }),
      );

  /** Loads that may begin now, less those of moves whose load has yet to be ordered. */
  const storeLoadsLeft = (shape: EngineShape): number => {
    const ahead = [...state.work.values()].filter(
      ({ move, sent }) => move.source === "store" && sent?.order.action !== "load",
    );
    return loads.left(shape.storeLoadsPerSecond, clock.now()) - ahead.length;
  };

  const planService = (service: string, shape: EngineShape, epoch: Epoch) => {
    const demand = input.demand();
    for (const entry of demand) {
      state.lastAsked.set(`${entry.service} ${entry.model}`, clock.now() - entry.idleMs);
    }
    const lastAsked = (model: string) =>
      clock.now() - (state.lastAsked.get(`${service} ${model}`) ?? -Infinity);
    const views = viewsOf(service, shape);
    const moves = planMoves({
      engines: views,
      needs: toNeeds(demand, service, shape, lastAsked),
      models: shape.models,
      storeLoadsLeft: storeLoadsLeft(shape),
      rules: rules.plan,
    });
    for (const move of moves) begin(move);
    if (moves.length > 0) input.announce();
    const moving = new Set(moves.map((move) => move.engine));
    const still = views.filter((view) => !moving.has(view.id) && !state.ordering.has(view.id));
    const lastUsed = (key: string) => state.adapterUse.get(key) ?? -Infinity;
    for (const order of planAdapters(
      still,
      adapterNeeds(demand, service),
      shape.models,
      lastUsed,
    )) {
      const belief = fleet.find(order.engine);
      const { action, model, adapter } = order;
      const wanted = { action, model, adapter };
      if (belief && fits(belief, shape, wanted)) void give(belief, wanted, epoch);
    }
  };

  const takeOver = (epoch: Epoch) => {
    state.epoch = epoch;
    state.work.clear();
    for (const service of input.configuration()?.services.values() ?? []) {
      const perSecond = service.engine?.storeLoadsPerSecond;
      if (perSecond !== undefined && epoch > 1) loads.assumeFull(perSecond, clock.now());
    }
  };

  const tick = () => {
    if (state.stopped) return;
    cancel = clock.after(tickMs, tick);
    const epoch = input.lease.epoch();
    if (epoch === undefined) {
      if (state.epoch !== undefined) state.work.clear();
      state.epoch = undefined;
      return;
    }
    if (epoch !== state.epoch) takeOver(epoch);
    askDue();
    for (const [id, work] of [...state.work]) {
      const belief = fleet.find(id);
      if (belief && !belief.listed.leaving) advance(belief, work, epoch);
      else dropWork(id, "engine gone");
    }
    for (const service of input.configuration()?.services.values() ?? []) {
      if (service.engine) planService(service.name, service.engine, epoch);
    }
  };
  let cancel = () => undefined as void;

  /** Time until the move's model is there: until its load is ordered, all of the load is ahead. */
  const expectedOf = (work: EngineWork): Milliseconds => {
    const belief = fleet.find(work.move.engine);
    const model = belief && shapeOf(belief)?.models.get(work.move.load);
    if (!model) return rules.giveUpMs;
    const { fromMemoryMs, fromDiskMs, fromStoreMs } = model;
    const loadMs = { memory: fromMemoryMs, disk: fromDiskMs, store: fromStoreMs }[work.move.source];
    if (work.sent?.order.action !== "load") return loadMs + unloadMs;
    return Math.max(leastLeftMs, work.sent.at + loadMs - clock.now());
  };

  return {
    withheld: () => new Map([...state.work].map(([id, work]) => [id, work.move.victims] as const)),
    expected: () => {
      const pairs = [...state.work].map(([id, work]) => {
        const service = fleet.find(id)?.listed.service ?? "";
        return [`${service} ${work.move.load}`, Math.round(expectedOf(work))] as const;
      });
      return Object.fromEntries(pairs);
    },
    hurry() {
      cancel();
      tick();
    },
    async start() {
      tick();
    },
    async stop() {
      state.stopped = true;
      cancel();
    },
  };
}
