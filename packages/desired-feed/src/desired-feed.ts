/** The configuration in force and the list of targets, from the store or from another box's copy. */
import type { LogFailure } from "@linkfall/errors";
import type { DesiredCopy } from "@linkfall/box-peers";
import type { Fleet } from "@linkfall/fleet";
import { clockName, type Kernel, type Service, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type { KeyedBatch, KeyedRecord, KeyedStreamPort, RecordCodec } from "@linkfall/ports";
import { createRouteTable, type RouteTable } from "@linkfall/route-table";
import type { ListedTarget, Milliseconds, Offset, RoutedConfiguration } from "@linkfall/types";
import { createStreamFollower, type FollowTimes } from "./follow-stream.js";

export interface DesiredFeedInput {
  readonly configurationStream: KeyedStreamPort;
  readonly targetStream: KeyedStreamPort;
  readonly codec: RecordCodec;
  readonly fleet: Fleet;
  readonly times: FollowTimes;
  /** Pause after each change of targets, which come in crowds when models move. */
  readonly gatherTargetsMs: Milliseconds;
  /** Key of the record that holds the whole configuration. */
  readonly configurationKey: string;
  /** How long after the store's return its list may still lack targets that live. */
  readonly settleMs: Milliseconds;
}

/** One configuration with the table that is built of it. */
export interface ConfigurationInForce {
  readonly configuration: RoutedConfiguration;
  readonly routes: RouteTable;
  readonly since: Milliseconds;
}

export interface DesiredFeed extends Service {
  inForce(): ConfigurationInForce | undefined;
  /** Whether configuration and targets are known. */
  ready(): boolean;
  reachesStore(): boolean;
  /** Whether the store is away, or came back only just now. */
  storeDisturbed(): boolean;
  targetsEnd(): Offset;
  copy(): DesiredCopy;
  /** Takes what another box has read, where it is newer. */
  takeCopy(copy: DesiredCopy): void;
}

export const desiredFeedName = serviceName<DesiredFeed>("desired-feed");

interface FeedState {
  inForce?: ConfigurationInForce;
  configurationText?: string;
  targetsKnown: boolean;
  targetsEnd: Offset;
  readonly targetTexts: Map<string, string>;
  readonly failing: Set<"configuration" | "targets">;
  returnedAt: Milliseconds;
}

export function createDesiredFeed(kernel: Kernel, input: DesiredFeedInput): DesiredFeed {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const { codec, fleet } = input;
  const state: FeedState = {
    targetsKnown: false,
    targetsEnd: 0,
    targetTexts: new Map(),
    failing: new Set(),
    returnedAt: -Infinity,
  };

  const version = () => state.inForce?.configuration.version ?? -1;
  const reachesStore = () => state.failing.size === 0;
  const storeDisturbed = () => !reachesStore() || clock.now() - state.returnedAt < input.settleMs;

  const takeConfiguration = (text: string, from: "store" | "box") => {
    codec.configuration(text).caseOf({
      Left: (invalid) => {
        const problem = invalid.problems.map(({ field, reason }) => `${field}: ${reason}`);
        logger.event("badRecord", { key: input.configurationKey, problem: problem.join("; ") });
      },
      Right: (configuration) => {
        if (configuration.version <= version()) return;
        const routes = createRouteTable(configuration);
        state.inForce = { configuration, routes, since: clock.now() };
        state.configurationText = text;
        const shapes = [...configuration.services.values()].map(
          (service) => [service.name, service.engine] as const,
        );
        fleet.setEngines(new Map(shapes));
        logger.event("configurationInForce", {
          version: configuration.version,
          routes: configuration.routes.length,
          from,
        });
      },
    });
  };

  const readTarget = (id: string, text: string): ListedTarget | undefined =>
    codec
      .target(id, text)
      .ifLeft(({ problems }) =>
        logger.event("badRecord", { key: id, problem: problems[0]?.reason }),
      )
      .toMaybe()
      .extract();

  const takeTargets = (texts: ReadonlyMap<string, string>) => {
    state.targetTexts.clear();
    for (const [id, text] of texts) state.targetTexts.set(id, text);
    const targets = [...texts].flatMap(([id, text]) => readTarget(id, text) ?? []);
    state.targetsKnown = true;
    fleet.takeList(targets, storeDisturbed());
  };

  const takeTargetChange = ({ key, value, offset }: KeyedRecord) => {
    // Another box's copy may have been ahead of the store's own answer.
    if (offset < state.targetsEnd) return;
    if (value === undefined) {
      state.targetTexts.delete(key);
      fleet.dropEntry(key, storeDisturbed());
      return;
    }
    state.targetTexts.set(key, value);
    const target = readTarget(key, value);
    if (target) fleet.takeEntry(target);
  };

  const noteRead = (stream: "configuration" | "targets") => (failure?: LogFailure) => {
    const reached = reachesStore();
    if (failure) state.failing.add(stream);
    else state.failing.delete(stream);
    if (reached && failure) {
      const reason = failure.kind === "log_unavailable" ? failure.reason : failure.kind;
      logger.event("logUnreachable", { stream, reason });
    }
    if (!reached && reachesStore()) {
      state.returnedAt = clock.now();
      logger.event("logReachable", { stream });
    }
  };

  const takeConfigurationBatch = (batch: KeyedBatch) => {
    for (const { key, value } of batch.records) {
      if (key === input.configurationKey && value !== undefined) takeConfiguration(value, "store");
    }
  };

  const configurationFollower = createStreamFollower({
    clock,
    port: input.configurationStream,
    times: input.times,
    onWhole: takeConfigurationBatch,
    onChanges: takeConfigurationBatch,
    onRead: noteRead("configuration"),
  });
  const targetFollower = createStreamFollower({
    clock,
    port: input.targetStream,
    times: { ...input.times, gatherMs: input.gatherTargetsMs },
    onWhole(batch) {
      if (batch.end < state.targetsEnd) return;
      state.targetsEnd = batch.end;
      const pairs = batch.records.flatMap(({ key, value }) =>
        value === undefined ? [] : [[key, value] as const],
      );
      takeTargets(new Map(pairs));
    },
    onChanges(batch) {
      for (const record of batch.records) takeTargetChange(record);
      state.targetsEnd = Math.max(state.targetsEnd, batch.end);
    },
    onRead: noteRead("targets"),
  });

  return {
    inForce: () => state.inForce,
    ready: () => state.inForce !== undefined && state.targetsKnown,
    reachesStore,
    storeDisturbed,
    targetsEnd: () => state.targetsEnd,
    copy: () => ({
      configurationVersion: version(),
      configuration: state.configurationText,
      targetsEnd: state.targetsEnd,
      targets: Object.fromEntries(state.targetTexts),
    }),
    takeCopy(copy) {
      if (copy.configuration !== undefined && copy.configurationVersion > version()) {
        takeConfiguration(copy.configuration, "box");
      }
      if (copy.targetsEnd <= state.targetsEnd) return;
      state.targetsEnd = copy.targetsEnd;
      takeTargets(new Map(Object.entries(copy.targets)));
    },
    async start() {
      configurationFollower.start();
      targetFollower.start();
    },
    async stop() {
      configurationFollower.stop();
      targetFollower.stop();
    },
  };
}
