/**
 * Usage goes where it is needed and nowhere else: demand for a pool's models to the pool's holder,
 * and the rate of a client account to the one box that rendezvous hashing names for it, which adds
 * up what all boxes report and tells them the sum. A broadcast would grow with models times boxes.
 */
import { settingsName } from "@linkfall/config";
import { createDemandMeter, type DemandMeter } from "@linkfall/demand-meter";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import { incarnationName } from "@linkfall/log-writer";
import { membershipName } from "@linkfall/membership";
import { peerPortName, type UsageReport, type UsageTotals } from "@linkfall/ports";
import { rankNodes } from "@linkfall/rendezvous";
import { stateStoreName } from "@linkfall/state-store";
import type { AccountRate, DemandSample, Incarnation, Milliseconds, Model } from "@linkfall/types";

/** A report or a sum that has not come anew for so many periods no longer counts. */
const lifePeriods = 5;

export interface UsageReports {
  /** Counts one request. */
  recordRequest(account: string, model?: string, tokens?: number): void;
  /** This box's own rate of an account, in requests a second. */
  ownRate(account: string): number;
  /** The account's rate over all boxes as its home last told it; undefined when it has not. */
  totalRate(account: string): number | undefined;
  /** Demand of every box that has reported to this one, its own first. */
  demand(): readonly (readonly DemandSample[])[];
  /** Takes the report of a peer. */
  receive(report: UsageReport): UsageTotals;
}

export const usageReportsName = serviceName<UsageReports>("usage-reports");

interface Held<T> {
  readonly value: T;
  readonly at: Milliseconds;
}

/** Drops what came before a time. */
function sweep<T>(entries: Map<string, Held<T>>, oldest: Milliseconds): void {
  for (const [key, held] of entries) if (held.at < oldest) entries.delete(key);
}

function toRates(meter: DemandMeter): readonly AccountRate[] {
  return meter
    .localDemand()
    .map(({ model, requestsPerSecond }) => ({ account: model, requestsPerSecond }));
}

/** Creates the reports of one box; its life cycle is the reporting. */
export function createUsageReports(kernel: Kernel): UsageReports & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const peers = kernel.find(peerPortName);
  const leases = kernel.find(leaseHolderName);
  const self = kernel.find(incarnationName);
  const everyMs = kernel.find(settingsName).membership.usage_ms;
  const oldest = () => clock.now() - lifePeriods * everyMs;
  const models = createDemandMeter(clock);
  const accounts = createDemandMeter(clock);
  /** Reports of boxes, by incarnation: what this box is the home or the holder for. */
  const reports = new Map<string, Held<UsageReport>>();
  const totals = new Map<string, Held<number>>();

  const holderOf = (model: string): Incarnation | undefined => {
    const pool = store.desired().models.get(model)?.pool;
    return pool === undefined ? undefined : store.state().leases.get(pool)?.holder;
  };

  /** The pool of the account's first model; most of its requests come to that pool's boxes. */
  const mainPoolOf = (account: string): string | undefined => {
    const own = [...store.desired().models.values()].filter(({ accounts }) =>
      accounts.includes(account),
    );
    return own.reduce<Model | undefined>(
      (first, model) => (first === undefined || model.name < first.name ? model : first),
      undefined,
    )?.pool;
  };

  /** One box for each account: of its main pool's, so that a box reports to few others. */
  const homeOf = (account: string): Incarnation => {
    const serving = membership.serving();
    const pool = mainPoolOf(account);
    const boxes = pool === undefined ? undefined : leases.boxesServing(pool);
    const candidates = serving.filter((entry) => boxes?.includes(entry.box) ?? true);
    const names = candidates.map((entry) => entry.incarnation);
    return rankNodes(account, names)[0] ?? self;
  };

  /** What goes to each box. */
  const reportsByBox = (): ReadonlyMap<Incarnation, UsageReport> => {
    const byBox = new Map<Incarnation, { demand: DemandSample[]; accounts: AccountRate[] }>();
    const of = (box: Incarnation) => {
      const report = byBox.get(box) ?? { demand: [], accounts: [] };
      byBox.set(box, report);
      return report;
    };
    for (const sample of models.localDemand())
      of(holderOf(sample.model) ?? self).demand.push(sample);
    for (const rate of toRates(accounts)) of(homeOf(rate.account)).accounts.push(rate);
    return new Map([...byBox].map(([box, report]) => [box, { from: self, ...report }]));
  };

  const sumOf = (account: string) =>
    [...reports.values()].reduce((sum, { value }) => {
      const rate = value.accounts.find((entry) => entry.account === account);
      return sum + (rate?.requestsPerSecond ?? 0);
    }, 0);

  const receive = (report: UsageReport): UsageTotals => {
    const now = clock.now();
    sweep(reports, oldest());
    reports.set(report.from, { value: report, at: now });
    return report.accounts.map(({ account }) => ({ account, requestsPerSecond: sumOf(account) }));
  };

  const takeTotals = (told: UsageTotals) => {
    for (const { account, requestsPerSecond } of told) {
      totals.set(account, { value: requestsPerSecond, at: clock.now() });
    }
  };

  const sendTo = async (box: Incarnation, report: UsageReport) => {
    if (box === self) return takeTotals(receive(report));
    const entry = membership.find(box);
    if (!entry) return;
    const answer = await peers.reportUsage(entry.peerAddress, report);
    answer.ifRight(takeTotals);
  };

  const round = () => {
    sweep(totals, oldest());
    for (const [box, report] of reportsByBox()) void sendTo(box, report);
  };

  const loop = repeatEvery(clock, kernel.find(randomName), everyMs, round);
  return {
    recordRequest(account, model, tokens = 0) {
      accounts.recordRequest(account, 0);
      if (model !== undefined) models.recordRequest(model, tokens);
    },
    ownRate: (account) =>
      toRates(accounts).find((entry) => entry.account === account)?.requestsPerSecond ?? 0,
    totalRate: (account) => totals.get(account)?.value,
    demand() {
      const others = [...reports].filter(([box]) => box !== self);
      return [models.localDemand(), ...others.map(([, held]) => held.value.demand)];
    },
    receive,
    start: loop.start,
    stop: loop.stop,
  };
}
