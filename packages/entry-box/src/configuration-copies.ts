/**
 * Copies of the configuration in heartbeats to boxes that have an older one. A box whose event loop is late may not get an answer
 * in time when it asks for the configuration, but reads the heartbeats that others send.
 */
import { type BoxStatus, type ConfigurationCopy, peersName } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";

export interface ConfigurationCopies {
  /** The configuration for a box that has an older one, unless it has been sent to it lately. */
  copyFor(recipient: BoxStatus | undefined): ConfigurationCopy | undefined;
}

interface SentCopy {
  readonly version: number;
  readonly sentAt: Milliseconds;
}

/** Time after which a copy that shows no effect is sent again; the recipient may be late. */
const repeatAfterMs: Milliseconds = 1_000;
/** Recipients are forgotten beyond this number, as boxes come and go. */
const maxRecipients = 2_000;

/** Creates the copies of one box. */
export function createConfigurationCopies(
  clock: Clock,
  configuration: () => ConfigurationCopy,
): ConfigurationCopies {
  const sent = new Map<Incarnation, SentCopy>();
  return {
    copyFor(recipient) {
      if (!recipient) return undefined;
      const copy = configuration();
      if (copy.text === undefined || recipient.configurationVersion >= copy.version)
        return undefined;
      const now = clock.now();
      const last = sent.get(recipient.incarnation);
      if (last?.version === copy.version && now - last.sentAt < repeatAfterMs) return undefined;
      if (sent.size >= maxRecipients) sent.clear();
      sent.set(recipient.incarnation, { version: copy.version, sentAt: now });
      return copy;
    },
  };
}

/** Changes within this time are passed on together. */
const passOnIntervalMs: Milliseconds = 500;

/** Sends heartbeats to the boxes with an older configuration when this box has read a newer one from the store. */
export function passOnConfigurations({ kernel, ports }: BoxRuntime): void {
  const { clock } = ports;
  const feed = kernel.find(desiredFeedName);
  const peers = kernel.find(peersName);
  let passedOnAt: Milliseconds = -Infinity;
  let isScheduled = false;
  const passOn = () => {
    isScheduled = false;
    passedOnAt = clock.now();
    const { version } = feed.configurationCopy();
    peers.sendHeartbeats(
      ({ status }) => status !== undefined && status.configurationVersion < version,
    );
  };
  feed.onConfigurationRead(() => {
    // In a full mesh each box reads the store itself.
    if (isScheduled || peers.isFullMesh()) return;
    isScheduled = true;
    clock.after(Math.max(0, passedOnAt + passOnIntervalMs - clock.now()), passOn);
  });
}
