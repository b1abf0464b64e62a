/**
 * Reports the usage measured by each box to the boxes that need it. Demand for models is sent to the lease holder of
 * their pool. Request rates of a client account are sent to its aggregator, a box selected by rendezvous hashing, which
 * responds with the total over all boxes. The cost of a broadcast would grow with the product of models and boxes.
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

/** Number of report intervals after which reports and totals expire. */
const expiryIntervals = 5;

export interface UsageReports {
  /** Counts one request of an account, and its tokens towards the demand for a model. */
  recordRequest(account: string, model?: string, tokens?: number): void;
  /** Rate of an account at this box, in requests per second. */
  ownRate(account: string): number;
  /** Rate of an account over all boxes, in requests per second; undefined if no recent total is known. */
  totalRate(account: string): number | undefined;
  /** Demand measured by this box, followed by that of each box that has reported to it. */
  demand(): readonly (readonly DemandSample[])[];
  /** Handles the report of a peer; returns the totals of the accounts in it. */
  receive(report: UsageReport): UsageTotals;
}

export const usageReportsName = serviceName<UsageReports>("usage-reports");

interface Timestamped<T> {
  readonly value: T;
  readonly receivedAt: Milliseconds;
}

/** Removes entries received before the given time. */
function removeExpired<T>(entries: Map<string, Timestamped<T>>, minReceivedAt: Milliseconds): void {
  for (const [key, entry] of entries) if (entry.receivedAt < minReceivedAt) entries.delete(key);
}

function toRates(meter: DemandMeter): readonly AccountRate[] {
  return meter
    .localDemand()
    .map(({ model, requestsPerSecond }) => ({ account: model, requestsPerSecond }));
}

/** Creates the usage reports of one box, which are sent from `start` to `stop`. */
export function createUsageReports(kernel: Kernel): UsageReports & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const peers = kernel.find(peerPortName);
  const leases = kernel.find(leaseHolderName);
  const self = kernel.find(incarnationName);
  const intervalMs = kernel.find(settingsName).membership.usage_ms;
  const minReceivedAt = () => clock.now() - expiryIntervals * intervalMs;
  const models = createDemandMeter(clock);
  const accounts = createDemandMeter(clock);
  /** Reports received as lease holder or aggregator, by incarnation of the sender. */
  const reports = new Map<string, Timestamped<UsageReport>>();
  const totals = new Map<string, Timestamped<number>>();

  const holderOf = (model: string): Incarnation | undefined => {
    const pool = store.desired().models.get(model)?.pool;
    return pool === undefined ? undefined : store.state().leases.get(pool)?.holder;
  };

  /** The pool of the account's first model by name, whose boxes receive most of its requests. */
  const mainPoolOf = (account: string): string | undefined => {
    const candidates = [...store.desired().models.values()].filter(({ accounts }) =>
      accounts.includes(account),
    );
    return candidates.reduce<Model | undefined>(
      (first, model) => (first === undefined || model.name < first.name ? model : first),
      undefined,
    )?.pool;
  };

  /** The box that aggregates an account's rates, chosen from its main pool to limit the number of peers. */
  const aggregatorOf = (account: string): Incarnation => {
    const serving = membership.serving();
    const pool = mainPoolOf(account);
    const boxes = pool === undefined ? undefined : leases.boxesServing(pool);
    const candidates = serving.filter((entry) => boxes?.includes(entry.box) ?? true);
    const incarnations = candidates.map((entry) => entry.incarnation);
    return rankNodes(account, incarnations)[0] ?? self;
  };

  /** The reports to send, by destination. */
  const reportsByBox = (): ReadonlyMap<Incarnation, UsageReport> => {
    const byBox = new Map<Incarnation, { demand: DemandSample[]; accounts: AccountRate[] }>();
    const reportTo = (box: Incarnation) => {
      const report = byBox.get(box) ?? { demand: [], accounts: [] };
      byBox.set(box, report);
      return report;
    };
    for (const sample of models.localDemand())
      reportTo(holderOf(sample.model) ?? self).demand.push(sample);
    for (const rate of toRates(accounts)) reportTo(aggregatorOf(rate.account)).accounts.push(rate);
    return new Map([...byBox].map(([box, report]) => [box, { from: self, ...report }]));
  };

  const totalOf = (account: string) =>
    [...reports.values()].reduce((sum, { value }) => {
      const rate = value.accounts.find((entry) => entry.account === account);
      return sum + (rate?.requestsPerSecond ?? 0);
    }, 0);

  const receive = (report: UsageReport): UsageTotals => {
    const now = clock.now();
    removeExpired(reports, minReceivedAt());
    reports.set(report.from, { value: report, receivedAt: now });
    return report.accounts.map(({ account }) => ({ account, requestsPerSecond: totalOf(account) }));
  };

  const applyTotals = (received: UsageTotals) => {
    for (const { account, requestsPerSecond } of received) {
      totals.set(account, { value: requestsPerSecond, receivedAt: clock.now() });
    }
  };

  const sendTo = async (box: Incarnation, report: UsageReport) => {
    if (box === self) return applyTotals(receive(report));
    const entry = membership.find(box);
    if (!entry) return;
    const response = await peers.reportUsage(entry.peerAddress, report);
    response.ifRight(applyTotals);
  };

  const sendReports = () => {
    removeExpired(totals, minReceivedAt());
    for (const [box, report] of reportsByBox()) void sendTo(box, report);
  };

  const loop = repeatEvery(clock, kernel.find(randomName), intervalMs, sendReports);
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
      return [models.localDemand(), ...others.map(([, report]) => report.value.demand)];
    },
    receive,
    start: loop.start,
    stop: loop.stop,
  };
}
