/**
 * Waiting requests of one service. Client accounts share by virtual time (start-time fair queueing); within an account the
 * more urgent class comes first, within a class the earliest due time.
 */
import type { Milliseconds } from "@linkfall/types";
import { createRate, type Rate } from "./rate.js";
import type { DispatchDecision, DispatchRequest } from "./types.js";

export interface WaitingRequest {
  readonly request: DispatchRequest;
  readonly decide: (decision: DispatchDecision) => void;
  readonly arrivedAt: Milliseconds;
  readonly account: AccountQueue;
  readonly deadlineAt: Milliseconds;
  readonly objectiveAt: Milliseconds;
  /** Work of the request, in time of the whole service. */
  readonly cost: number;
  requestClass: RequestClass;
  isDecided: boolean;
}

/** Requests of one account with the same urgency. */
export interface RequestClass {
  /** Priority; requests that are late already are in classes above `lateRank`. */
  readonly rank: number;
  /** By due time. */
  readonly waiting: WaitingRequest[];
  /** Arriving work, in time of the whole service per time. */
  readonly demand: Rate;
  /** Part of a turn that this class has gained while more urgent classes were served. */
  credit: number;
  /** Last times for which rejected callers were told to retry: on time for their objective, and later. */
  retryAt: Milliseconds;
  lateRetryAt: Milliseconds;
}

export interface AccountQueue {
  readonly name: string;
  readonly weight: number;
  /** Virtual time at which the next request of the account is due. */
  virtualTime: number;
  /** By rank. */
  readonly classes: RequestClass[];
  waiting: number;
  inFlight: number;
  granted: number;
  rejected: number;
  usedAt: Milliseconds;
}

/** Rank of requests that can no longer meet their objective; they come after all others of the account. */
export const lateRank = 1_000;
/** Share of an account's grants that a less urgent class gets while more urgent ones wait, so that it never starves. */
export const reservedShare = 0.05;
/** Accounts beyond these share one queue, which bounds the memory. */
const maxAccounts = 512;
/** Name of the queue of requests beyond the last account. */
const otherAccounts = "(others)";
/** An account without requests for this time has used up neither credit nor debt and is dropped. */
const accountIdleMs: Milliseconds = 5_000;
/** Averages over some 20 grants, one turn of a reserved share. */
const meanCostSmoothing = 0.05;
/** Distinct priorities of an account; further ones share the last class. */
const maxClasses = 16;

export interface FairQueue {
  account(name: string, now: Milliseconds): AccountQueue;
  accounts(): Iterable<AccountQueue>;
  requestClass(account: AccountQueue, rank: number): RequestClass;
  insert(entry: WaitingRequest): void;
  remove(entry: WaitingRequest): void;
  /** Charges the account for a granted request. */
  charge(entry: WaitingRequest): void;
  /** The first `limit` requests in the order in which they will be granted. */
  order(limit: number): WaitingRequest[];
  /** Drops accounts without requests. */
  expire(now: Milliseconds): void;
  size(): number;
  /** Mean work of the requests that were granted, in time of the whole service. */
  meanCost(): number;
}

/** When the entry has to end: requests that are late are ordered by their deadline. */
const dueAt = (entry: WaitingRequest) =>
  entry.requestClass.rank >= lateRank ? entry.deadlineAt : entry.objectiveAt;

function insertByDue(waiting: WaitingRequest[], entry: WaitingRequest): void {
  const due = dueAt(entry);
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (dueAt(waiting[middle]) <= due) low = middle + 1;
    else high = middle;
  }
  waiting.splice(low, 0, entry);
}

/** Position in one account while the order is worked out. */
interface Cursor {
  readonly account: AccountQueue;
  virtualTime: number;
  left: number;
  readonly next: number[];
  readonly credits: number[];
}

/** Index of the class whose turn it is. */
function nextClass({ account: { classes }, next, credits }: Cursor): number {
  let first = -1;
  for (let index = 0; index < classes.length; index++) {
    if (next[index] >= classes[index].waiting.length) continue;
    if (first < 0) first = index;
    else if (credits[index] >= 1) return index;
  }
  return first;
}

/** Adds the credit of the less urgent classes that wait while the class at `index` is served. */
function shareTurn(
  classes: readonly RequestClass[],
  next: readonly number[],
  credits: number[],
  index: number,
) {
  credits[index] = Math.max(0, credits[index] - 1);
  for (let later = index + 1; later < classes.length; later++) {
    if (classes[later].rank >= lateRank) return;
    if (next[later] < classes[later].waiting.length)
      credits[later] = Math.min(1, credits[later] + reservedShare);
  }
}

export function createFairQueue(weights: ReadonlyMap<string, number>): FairQueue {
  const accounts = new Map<string, AccountQueue>();
  /** Accounts with waiting requests. */
  const backlogged = new Set<AccountQueue>();
  /** Virtual time of the last grant; an account that was idle continues here, without credit for its idle time. */
  let virtualNow = 0;
  let meanCost = 0;
  let size = 0;

  const startOf = (account: AccountQueue) => Math.max(account.virtualTime, virtualNow);

  return {
    account(wanted, now) {
      const name = accounts.has(wanted) || accounts.size < maxAccounts ? wanted : otherAccounts;
      let account = accounts.get(name);
      if (!account) {
        account = {
          name,
          weight: Math.max(1e-3, weights.get(name) ?? 1),
          virtualTime: virtualNow,
          classes: [],
          waiting: 0,
          inFlight: 0,
          granted: 0,
          rejected: 0,
          usedAt: now,
        };
        accounts.set(name, account);
      }
      account.usedAt = now;
      return account;
    },
    accounts: () => accounts.values(),
    requestClass({ classes }, rank) {
      let index = 0;
      while (index < classes.length && classes[index].rank < rank) index += 1;
      if (classes[index]?.rank === rank) return classes[index];
      if (classes.length >= maxClasses) return classes[Math.min(index, classes.length - 1)];
      const created: RequestClass = {
        rank,
        waiting: [],
        demand: createRate(),
        credit: 0,
        retryAt: -Infinity,
        lateRetryAt: -Infinity,
      };
      classes.splice(index, 0, created);
      return created;
    },
    insert(entry) {
      insertByDue(entry.requestClass.waiting, entry);
      if (entry.account.waiting === 0) backlogged.add(entry.account);
      entry.account.waiting += 1;
      size += 1;
    },
    remove(entry) {
      const index = entry.requestClass.waiting.indexOf(entry);
      if (index < 0) return;
      entry.requestClass.waiting.splice(index, 1);
      entry.account.waiting -= 1;
      if (entry.account.waiting === 0) backlogged.delete(entry.account);
      size -= 1;
    },
    charge({ account, requestClass, cost }) {
      const start = startOf(account);
      virtualNow = Math.max(virtualNow, start);
      account.virtualTime = start + cost / account.weight;
      account.granted += 1;
      meanCost += (meanCost === 0 ? 1 : meanCostSmoothing) * (cost - meanCost);
      const { classes } = account;
      const index = classes.indexOf(requestClass);
      const credits = classes.map(({ credit }) => credit);
      shareTurn(
        classes,
        classes.map(() => 0),
        credits,
        index,
      );
      for (const [position, credit] of credits.entries()) classes[position].credit = credit;
    },
    order(limit) {
      const cursors: Cursor[] = [];
      for (const account of backlogged) {
        cursors.push({
          account,
          virtualTime: startOf(account),
          left: account.waiting,
          next: account.classes.map(() => 0),
          credits: account.classes.map(({ credit }) => credit),
        });
      }
      const ordered: WaitingRequest[] = [];
      while (ordered.length < limit) {
        let cursor: Cursor | undefined;
        for (const candidate of cursors) {
          if (candidate.left > 0 && (!cursor || candidate.virtualTime < cursor.virtualTime))
            cursor = candidate;
        }
        if (!cursor) break;
        const { classes } = cursor.account;
        const index = nextClass(cursor);
        const entry = classes[index].waiting[cursor.next[index]];
        cursor.next[index] += 1;
        cursor.left -= 1;
        cursor.virtualTime += entry.cost / cursor.account.weight;
        if (classes.length > 1) shareTurn(classes, cursor.next, cursor.credits, index);
        ordered.push(entry);
      }
      return ordered;
    },
    expire(now) {
      for (const [name, account] of accounts) {
        const isIdle = account.waiting === 0 && account.inFlight === 0;
        if (isIdle && now - account.usedAt > accountIdleMs) accounts.delete(name);
      }
    },
    size: () => size,
    meanCost: () => meanCost,
  };
}
