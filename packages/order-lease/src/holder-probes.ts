/**
 * Probes of the lease holder in the stream of claims, and its renewals in response. A box that receives no heartbeats cannot tell
 * whether the holder or its own links and event loop are the cause; both reach the store.
 */
import type { Clock } from "@linkfall/kernel";
import type { KeyedRecord } from "@linkfall/ports";
import type { Epoch, Milliseconds, Offset } from "@linkfall/types";

const probeKey = "probe";
const renewalKey = "renewal";

/** A request to the holder of an epoch to renew it. */
export interface HolderProbe {
  readonly epoch: Epoch;
  /** Number of other boxes that the sender has recently received messages from. */
  readonly boxesHeard: number;
  readonly offset: Offset;
  /** When this box learned of the probe, which is after it was appended. */
  readonly seenAt: Milliseconds;
}

/** The answer of the holder of an epoch. */
interface HolderRenewal {
  readonly epoch: Epoch;
  readonly proofValidMs: Milliseconds;
  readonly offset: Offset;
}

/** A record to append. */
export interface NewRecord {
  readonly key: string;
  readonly value: string;
}

export interface HolderProbes {
  /** Applies a record of the stream; those with other keys are ignored. */
  apply(record: KeyedRecord): void;
  /** The probe at this offset, if it is the newest one. */
  findAt(offset: Offset): HolderProbe | undefined;
  /** The newest probe of this epoch that the holder has not answered. */
  findPending(epoch: Epoch): HolderProbe | undefined;
  /**
   * Time for which a proof of the holder of this epoch is valid by its own settings, as its renewal says; undefined if it has
   * appended none, so that it need not answer probes.
   */
  proofValidMs(epoch: Epoch): Milliseconds | undefined;
  /** When this box learned that the holder had answered a probe that this box knew of; -Infinity if it never did. */
  answeredAt(epoch: Epoch): Milliseconds;
  /** Forgets all records, whose offsets a store that goes back assigns again. */
  clear(): void;
}

export function encodeProbe(epoch: Epoch, boxesHeard: number): NewRecord {
  return { key: probeKey, value: `${epoch} ${boxesHeard}` };
}

export function encodeRenewal(epoch: Epoch, proofValidMs: Milliseconds): NewRecord {
  return { key: renewalKey, value: `${epoch} ${Math.ceil(proofValidMs)}` };
}

/** Parses numbers that are separated by spaces; undefined unless there are exactly `count` that are safe integers. */
function parseIntegers(text: string, count: number): readonly number[] | undefined {
  const numbers = text.split(" ").map(Number);
  return numbers.length === count && numbers.every(Number.isSafeInteger) ? numbers : undefined;
}

export function createHolderProbes(clock: Clock): HolderProbes {
  let probe: HolderProbe | undefined;
  let renewal: HolderRenewal | undefined;
  let answer: { readonly epoch: Epoch; readonly at: Milliseconds } | undefined;

  const findPending = (epoch: Epoch) => {
    if (probe?.epoch !== epoch) return undefined;
    const isAnswered = renewal?.epoch === epoch && renewal.offset > probe.offset;
    return isAnswered ? undefined : probe;
  };

  const applyProbe = (value: string, offset: Offset) => {
    const [epoch, boxesHeard] = parseIntegers(value, 2) ?? [];
    if (epoch === undefined || offset <= (probe?.offset ?? -1)) return;
    probe = { epoch, boxesHeard, offset, seenAt: clock.now() };
  };

  const applyRenewal = (value: string, offset: Offset) => {
    const [epoch, proofValidMs] = parseIntegers(value, 2) ?? [];
    if (epoch === undefined || offset <= (renewal?.offset ?? -1)) return;
    const wasPending = findPending(epoch) !== undefined;
    renewal = { epoch, proofValidMs, offset };
    if (wasPending && findPending(epoch) === undefined) answer = { epoch, at: clock.now() };
  };

  return {
    apply({ key, value = "", offset }) {
      if (key === probeKey) applyProbe(value, offset);
      if (key === renewalKey) applyRenewal(value, offset);
    },
    findAt: (offset) => (probe?.offset === offset ? probe : undefined),
    findPending,
    proofValidMs: (epoch) => (renewal?.epoch === epoch ? renewal.proofValidMs : undefined),
    answeredAt: (epoch) => (answer?.epoch === epoch ? answer.at : -Infinity),
    clear() {
      probe = undefined;
      renewal = undefined;
    },
  };
}
