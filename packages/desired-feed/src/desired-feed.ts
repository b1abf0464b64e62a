/** Follows the active configuration and the target list, read from the store or received from other boxes. */
import type { TargetChanges } from "@linkfall/box-peers";
import type { LogFailure } from "@linkfall/errors";
import { clockName, type Kernel, withTimeout } from "@linkfall/kernel";
import { type Logger, loggerName } from "@linkfall/logger";
import { timeTask } from "@linkfall/long-task";
import { type Metrics, metricsName } from "@linkfall/metrics";
import type { KeyedBatch, KeyedRecord } from "@linkfall/ports";
import {
  isBehind,
  type ListedTarget,
  type ListPosition,
  type ListSource,
  type Milliseconds,
  type Offset,
} from "@linkfall/types";
import { createConfigurationCheck } from "./configuration-check.js";
import { type ConfigurationTracker, createConfigurationTracker } from "./configuration-tracker.js";
import type { DesiredFeed, DesiredFeedInput } from "./feed-types.js";
import { createStreamFollower, type StreamFollower } from "./stream-follower.js";
import {
  createStoreReachability,
  type FollowedStream,
  type StoreReachability,
} from "./store-reachability.js";
import { createTargetChangeLog, type TargetChangeLog } from "./target-change-log.js";

/** Limit of a target id in log lines, as keys written by others may have any length. */
const maxLoggedIdLength = 64;

/** Time by which an answered read of the list may exceed its wait; a longer one hides an outage, or a suspension. */
const readDelayMs: Milliseconds = 500;

/** Offset before all records, for boxes that need the full list. */
const beforeFirstOffset: Offset = -1;

/** State shared by the functions of the feed. */
interface FeedContext {
  readonly input: DesiredFeedInput;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationTracker;
  readonly reachability: StoreReachability;
  readonly changeLog: TargetChangeLog;
  targetsKnown: boolean;
  targets: ListPosition;
}

/** Parsed target entries. Entries may be invalid, as other programs write to the list. */
interface ParsedEntries {
  readonly targets: readonly ListedTarget[];
  /** Ids of the targets whose entries are invalid. */
  readonly unreadable: readonly string[];
}

/** Parses one target entry; an invalid one is logged and counted, and yields undefined. */
function parseTarget({ input, logger, metrics }: FeedContext, id: string, text: string) {
  return input.codec
    .parseTarget(id, text)
    .ifLeft(({ problems }) => {
      const [problem] = problems;
      metrics.count("linkfall_bad_entries_total", "Entries of targets that could not be read.");
      logger.event("badTargetEntry", {
        target: id.slice(0, maxLoggedIdLength),
        field: problem?.field,
        problem: problem?.reason,
      });
    })
    .toMaybe()
    .extract();
}

function parseEntries(context: FeedContext, records: readonly KeyedRecord[]): ParsedEntries {
  const targets: ListedTarget[] = [];
  const unreadable: string[] = [];
  for (const { key, value } of records) {
    if (value === undefined) continue;
    const target = parseTarget(context, key, value);
    if (target) targets.push(target);
    else unreadable.push(key);
  }
  return { targets, unreadable };
}

function applyFullList(
  context: FeedContext,
  { targets, unreadable }: ParsedEntries,
  position: ListPosition,
  readFrom: ListSource["readFrom"],
): void {
  const { fleet } = context.input;
  const isRestored = context.targetsKnown && position.generation > context.targets.generation;
  context.targetsKnown = true;
  context.targets = position;
  context.changeLog.replace(targets, unreadable, position.end);
  for (const id of unreadable) fleet.excludeUnreadable(id);
  fleet.applyList(targets, listSource(context, readFrom, position), isRestored);
}

/** Describes a change of the list up to `position` to the fleet. */
function listSource(
  { reachability }: FeedContext,
  readFrom: ListSource["readFrom"],
  position: ListPosition,
): ListSource {
  return { readFrom, position, isContinuous: reachability.isListContinuous() };
}

function applyUnreadable(context: FeedContext, id: string, offset: Offset): void {
  context.changeLog.recordUnreadable(id, offset);
  context.input.fleet.excludeUnreadable(id);
}

function applyTargetRecord(context: FeedContext, { key, value, offset }: KeyedRecord): void {
  // Already received from another box.
  if (offset < context.targets.end) return;
  const source = listSource(context, "store", { ...context.targets, end: offset + 1 });
  if (value === undefined) {
    context.changeLog.recordRemoved(key, offset);
    context.input.fleet.removeEntry(key, source);
    return;
  }
  const target = parseTarget(context, key, value);
  if (!target) return applyUnreadable(context, key, offset);
  context.changeLog.recordChanged(target, offset);
  context.input.fleet.applyEntry(target, source);
}

function applyTargetSnapshot(context: FeedContext, batch: KeyedBatch): void {
  if (isBehind(batch, context.targets)) return;
  const { end, generation } = batch;
  applyFullList(context, parseEntries(context, batch.records), { end, generation }, "store");
}

function applyTargetBatch(context: FeedContext, batch: KeyedBatch): void {
  // Another box has told of a later generation meanwhile.
  if (batch.generation !== context.targets.generation) return;
  for (const record of batch.records) applyTargetRecord(context, record);
  context.targets = { ...context.targets, end: Math.max(context.targets.end, batch.end) };
}

/** Reads and applies the changes of the target list; resolves with whether it is applied up to its end. */
async function catchUpTargets(context: FeedContext): Promise<boolean> {
  const { input, targets, targetsKnown } = context;
  if (!targetsKnown) return false;
  const answer = await input.targetStream.readChanges(targets.end, 0);
  answer.ifRight((batch) => applyTargetBatch(context, batch));
  return answer
    .map(({ generation, isPartial }) => !isPartial && generation === context.targets.generation)
    .orDefault(false);
}

function applyConfigurationBatch({ input, configuration }: FeedContext, batch: KeyedBatch): void {
  for (const { key, value } of batch.records) {
    if (key === input.configurationKey && value !== undefined) configuration.apply(value, "store");
  }
}

/**
 * Applies incremental changes received from another box, and records them for relaying. The lease holder relays changes
 * even while it can't read the store itself; without the records, boxes would advance past changes they never received.
 */
function applyReceivedChanges(context: FeedContext, changes: TargetChanges): void {
  const { changed, gone, unreadable = [], end } = changes;
  const { fleet } = context.input;
  const lastOffset = end - 1;
  const source = listSource(context, "box", { ...context.targets, end });
  for (const id of unreadable) applyUnreadable(context, id, lastOffset);
  for (const target of changed) {
    context.changeLog.recordChanged(target, lastOffset);
    fleet.applyEntry(target, source);
  }
  for (const id of gone) {
    context.changeLog.recordRemoved(id, lastOffset);
    fleet.removeEntry(id, source);
  }
  context.targets = { ...context.targets, end };
}

/** Applies a full list or incremental changes received from another box. */
function applyReceived(
  context: FeedContext,
  changes: TargetChanges,
  follower: StreamFollower,
): void {
  const { changed: targets, unreadable = [], whole, end } = changes;
  const position = { end, generation: changes.generation ?? context.targets.generation };
  if (!isBehind(context.targets, position)) return;
  // Changes are relative to the history that they belong to.
  if (!whole && position.generation !== context.targets.generation) return;
  if (whole) applyFullList(context, { targets, unreadable }, position, "box");
  else applyReceivedChanges(context, changes);
  // Received entries lack the models, so the next read by this box starts from a full snapshot.
  follower.restart();
}

function createContext(kernel: Kernel, input: DesiredFeedInput): FeedContext {
  const logger = kernel.find(loggerName);
  const clock = kernel.find(clockName);
  return {
    input,
    logger,
    metrics: kernel.find(metricsName),
    configuration: createConfigurationTracker(clock, logger, input),
    reachability: createStoreReachability(clock, logger, input.peers, {
      settleMs: input.settleMs + input.coalesceTargetsMs,
      maxReadGapMs: input.times.maxWaitMs + input.coalesceTargetsMs + readDelayMs,
    }),
    changeLog: createTargetChangeLog(),
    targetsKnown: false,
    targets: { end: 0, generation: 0 },
  };
}

/** Creates the feed of one box; it follows the streams while it is started. */
export function createDesiredFeed(kernel: Kernel, input: DesiredFeedInput): DesiredFeed {
  const clock = kernel.find(clockName);
  const context = createContext(kernel, input);
  const { configuration, reachability, changeLog } = context;
  const recordReadsOf = (stream: FollowedStream) => ({
    onAnswer: (isWhole: boolean) => reachability.recordAnswer(stream, isWhole),
    onFailure: (failure: LogFailure) => reachability.recordFailure(stream, failure),
  });
  const reporters = { clock, logger: context.logger, metrics: context.metrics };
  const readListeners: (() => void)[] = [];
  const applyConfigurations = (batch: KeyedBatch) => {
    const version = configuration.version();
    timeTask(reporters, "apply configuration", () => applyConfigurationBatch(context, batch));
    if (configuration.version() > version) for (const listener of readListeners) listener();
  };
  const configurationCheck = createConfigurationCheck({
    clock,
    stream: input.configurationStream,
    apply: applyConfigurations,
    onFailure: ({ kind }) => context.logger.event("configurationUnconfirmed", { kind }),
  });
  const timeTargets = (apply: () => void) => timeTask(reporters, "apply target list", apply);
  const configurationFollower = createStreamFollower({
    clock,
    port: input.configurationStream,
    times: input.times,
    isReader: input.peers.readsStore,
    onSnapshot: applyConfigurations,
    onChanges: applyConfigurations,
    ...recordReadsOf("configuration"),
  });
  input.targetStream.onNewGeneration(reachability.recordReturn);
  const targetFollower = createStreamFollower({
    clock,
    port: input.targetStream,
    times: { ...input.times, coalesceMs: input.coalesceTargetsMs },
    isReader: input.peers.readsStore,
    onSnapshot: (batch) => timeTargets(() => applyTargetSnapshot(context, batch)),
    onChanges: (batch) => timeTargets(() => applyTargetBatch(context, batch)),
    ...recordReadsOf("targets"),
  });

  return {
    activeConfiguration: configuration.active,
    confirmConfiguration: async (timeoutMs) =>
      (await withTimeout(clock, timeoutMs, configurationCheck.isNewest())) === true,
    ready: () => configuration.active() !== undefined && context.targetsKnown,
    readsStore: input.peers.readsStore,
    reachesStore: reachability.isReachable,
    isListSettled: reachability.isListSettled,
    catchUpTargets: async () => (await catchUpTargets(context)) && reachability.isListSettled(),
    targetsPosition: () => context.targets,
    onConfigurationRead: (listener) => void readListeners.push(listener),
    configurationCopy: configuration.copy,
    applyConfigurationCopy: (copy) => {
      if (copy.text !== undefined && copy.version > configuration.version()) {
        const { text } = copy;
        timeTask(reporters, "apply configuration", () => configuration.apply(text, "box"));
      }
    },
    targetChangesSince(position) {
      const { end, generation } = context.targets;
      const since = position.generation === generation ? position.end : beforeFirstOffset;
      return { ...changeLog.changesSince(since, end), generation };
    },
    applyTargetChanges: (changes) =>
      timeTargets(() => applyReceived(context, changes, targetFollower)),
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
