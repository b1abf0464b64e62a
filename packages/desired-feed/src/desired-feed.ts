/** The configuration in force and the list of targets, from the store or from other boxes. */
import type { ConfigurationCopy, TargetChanges } from "@linkfall/box-peers";
import type { LogFailure } from "@linkfall/errors";
import type { Fleet } from "@linkfall/fleet";
import { clockName, type Kernel, type Service, serviceName } from "@linkfall/kernel";
import { type Logger, loggerName } from "@linkfall/logger";
import { type Metrics, metricsName } from "@linkfall/metrics";
import type { KeyedBatch, KeyedRecord, KeyedStreamPort, RecordCodec } from "@linkfall/ports";
import type { ListedTarget, Milliseconds, Offset } from "@linkfall/types";
import {
  type ConfigurationTracker,
  type ActiveConfiguration,
  createConfigurationTracker,
} from "./configuration-tracker.js";
import {
  createStreamFollower,
  type StreamFollowerTimes,
  type StreamFollower,
} from "./stream-follower.js";
import { createStoreReachability, type StoreReachability } from "./store-reachability.js";
import { createTargetChangeLog, type TargetChangeLog } from "./target-change-log.js";

/** What the feed has to know of the other boxes. */
export interface FeedPeers {
  /** Whether this box is to read the store itself. */
  readsStore(): boolean;
  /** Whether a box that reads the store, and was heard lately, reaches it. */
  anyReaderReachesStore(): boolean;
}

export interface DesiredFeedInput {
  readonly configurationStream: KeyedStreamPort;
  readonly targetStream: KeyedStreamPort;
  readonly codec: RecordCodec;
  readonly fleet: Fleet;
  readonly peers: FeedPeers;
  readonly times: StreamFollowerTimes;
  /** Pause after each change of targets, which come in crowds when models move. */
  readonly coalesceTargetsMs: Milliseconds;
  /** Key of the record that holds the whole configuration. */
  readonly configurationKey: string;
  /** How long after the store's return its list may still lack targets that live. */
  readonly settleMs: Milliseconds;
}

export interface DesiredFeed extends Service {
  activeConfiguration(): ActiveConfiguration | undefined;
  /** Whether configuration and targets are known. */
  ready(): boolean;
  /** Whether this box reads the store itself now. */
  readsStore(): boolean;
  reachesStore(): boolean;
  /** Whether the store is away, or came back only just now. */
  storeUnsettled(): boolean;
  /** How far the list of targets is known. */
  targetsEnd(): Offset;
  configurationCopy(): ConfigurationCopy;
  /** Takes what another box has read, where it is newer. */
  applyConfigurationCopy(copy: ConfigurationCopy): void;
  /** Changes of the list from an offset on. */
  targetChangesSince(since: Offset): TargetChanges;
  /** Takes changes of the list that another box has read, where they are newer. */
  applyTargetChanges(changes: TargetChanges): void;
}

export const desiredFeedName = serviceName<DesiredFeed>("desired-feed");

/** Other writers may leave entries under any key; log lines show no more of it. */
const longestId = 64;

/** What the steps of the feed share. */
interface FeedContext {
  readonly input: DesiredFeedInput;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationTracker;
  readonly reach: StoreReachability;
  readonly log: TargetChangeLog;
  targetsKnown: boolean;
  targetsEnd: Offset;
}

/** Entries of targets as they were read; those of other writers may be anything. */
interface ReadEntries {
  readonly targets: readonly ListedTarget[];
  /** Ids of the targets whose entries name none to use. */
  readonly unreadable: readonly string[];
}

/** Reads the entry of one target; what can't be read is logged and counted, and never used. */
function readTarget({ input, logger, metrics }: FeedContext, id: string, text: string) {
  return input.codec
    .parseTarget(id, text)
    .ifLeft(({ problems }) => {
      const [problem] = problems;
      metrics.count("linkfall_bad_entries_total", "Entries of targets that could not be read.");
      logger.event("badTargetEntry", {
        target: id.slice(0, longestId),
        field: problem?.field,
        problem: problem?.reason,
      });
    })
    .toMaybe()
    .extract();
}

function readEntries(context: FeedContext, records: readonly KeyedRecord[]): ReadEntries {
  const targets: ListedTarget[] = [];
  const unreadable: string[] = [];
  for (const { key, value } of records) {
    if (value === undefined) continue;
    const target = readTarget(context, key, value);
    if (target) targets.push(target);
    else unreadable.push(key);
  }
  return { targets, unreadable };
}

function takeWholeList(context: FeedContext, entries: ReadEntries, end: Offset): void {
  const { targets, unreadable } = entries;
  const { fleet } = context.input;
  context.targetsKnown = true;
  context.targetsEnd = end;
  context.log.replace(targets, unreadable, end);
  for (const id of unreadable) fleet.excludeUnreadable(id);
  fleet.applyList(targets);
}

function takeUnreadable(context: FeedContext, id: string, offset: Offset): void {
  context.log.recordUnreadable(id, offset);
  context.input.fleet.excludeUnreadable(id);
}

function takeTargetRecord(context: FeedContext, { key, value, offset }: KeyedRecord): void {
  // Another box may have told of it already.
  if (offset < context.targetsEnd) return;
  if (value === undefined) {
    context.log.recordRemoved(key, offset);
    context.input.fleet.removeEntry(key);
    return;
  }
  const target = readTarget(context, key, value);
  if (!target) return takeUnreadable(context, key, offset);
  context.log.recordChanged(target, offset);
  context.input.fleet.applyEntry(target);
}

function takeNewestTargets(context: FeedContext, batch: KeyedBatch): void {
  if (batch.end < context.targetsEnd) return;
  takeWholeList(context, readEntries(context, batch.records), batch.end);
}

function takeTargetBatch(context: FeedContext, batch: KeyedBatch): void {
  for (const record of batch.records) takeTargetRecord(context, record);
  context.targetsEnd = Math.max(context.targetsEnd, batch.end);
}

function takeConfigurationBatch({ input, configuration }: FeedContext, batch: KeyedBatch): void {
  for (const { key, value } of batch.records) {
    if (key === input.configurationKey && value !== undefined) configuration.apply(value, "store");
  }
}

/**
 * Takes single changes that another box has told of, and keeps them to be told on: the holder of the order lease
 * tells all boxes, also while the store refuses it. Without them in its log the others took its end for theirs, and
 * missed targets that leave.
 */
function takeToldChanges(context: FeedContext, changes: TargetChanges): void {
  const { changed, gone, unreadable = [], end } = changes;
  const { fleet } = context.input;
  const lastOffset = end - 1;
  for (const id of unreadable) takeUnreadable(context, id, lastOffset);
  for (const target of changed) {
    context.log.recordChanged(target, lastOffset);
    fleet.applyEntry(target);
  }
  for (const id of gone) {
    context.log.recordRemoved(id, lastOffset);
    fleet.removeEntry(id);
  }
  context.targetsEnd = end;
}

/** Takes changes that another box has told of. */
function takeTold(context: FeedContext, changes: TargetChanges, follower: StreamFollower): void {
  if (changes.end <= context.targetsEnd) return;
  const { changed: targets, unreadable = [] } = changes;
  if (changes.whole) takeWholeList(context, { targets, unreadable }, changes.end);
  else takeToldChanges(context, changes);
  // What was told lacks the models; the next read of this box's own takes everything anew.
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
    reach: createStoreReachability(clock, logger, input.peers, input.settleMs),
    log: createTargetChangeLog(),
    targetsKnown: false,
    targetsEnd: 0,
  };
}

export function createDesiredFeed(kernel: Kernel, input: DesiredFeedInput): DesiredFeed {
  const clock = kernel.find(clockName);
  const context = createContext(kernel, input);
  const { configuration, reach, log } = context;
  const noteRead = (stream: string) => (failure?: LogFailure) => reach.recordRead(stream, failure);
  const takeConfigurations = (batch: KeyedBatch) => takeConfigurationBatch(context, batch);
  const configurationFollower = createStreamFollower({
    clock,
    port: input.configurationStream,
    times: input.times,
    isReader: input.peers.readsStore,
    onSnapshot: takeConfigurations,
    onChanges: takeConfigurations,
    onRead: noteRead("configuration"),
  });
  const targetFollower = createStreamFollower({
    clock,
    port: input.targetStream,
    times: { ...input.times, coalesceMs: input.coalesceTargetsMs },
    isReader: input.peers.readsStore,
    onSnapshot: (batch) => takeNewestTargets(context, batch),
    onChanges: (batch) => takeTargetBatch(context, batch),
    onRead: noteRead("targets"),
  });

  return {
    activeConfiguration: configuration.active,
    ready: () => configuration.active() !== undefined && context.targetsKnown,
    readsStore: input.peers.readsStore,
    reachesStore: reach.isReachable,
    storeUnsettled: reach.isUnsettled,
    targetsEnd: () => context.targetsEnd,
    configurationCopy: configuration.copy,
    applyConfigurationCopy: (copy) => {
      if (copy.text !== undefined && copy.version > configuration.version()) {
        configuration.apply(copy.text, "box");
      }
    },
    targetChangesSince: (since) => log.changesSince(since, context.targetsEnd),
    applyTargetChanges: (changes) => takeTold(context, changes, targetFollower),
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
