/**
 * Each engine of a pool is read by a few of the pool's boxes, chosen by rendezvous hashing; every other
 * box asks those for what they have read. Ages, never clock readings, travel between boxes. A box that
 * gets no fresh report of an engine this way reads the engine itself (see target-watch).
 */
import { settingsName } from "@linkfall/config";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { incarnationName } from "@linkfall/log-writer";
import { membershipName } from "@linkfall/membership";
import { peerPortName, type ReportsReply, type ReportsRequest } from "@linkfall/ports";
import { targetWatchName } from "@linkfall/target-watch";
import type { MemberEntry } from "@linkfall/types";
import { createIncomingReports, type IncomingReports } from "./incoming.js";
import { createOutgoingReports } from "./outgoing.js";

export interface ReportRelay {
  /** Answers a box that asks for reports. */
  answerRequest(request: ReportsRequest): ReportsReply;
}

export const reportRelayName = serviceName<ReportRelay>("report-relay");

/** Creates the relay of one box; its life cycle is the asking. */
export function createReportRelay(kernel: Kernel): ReportRelay & Service {
  const clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const peers = kernel.find(peerPortName);
  const watch = kernel.find(targetWatchName);
  const self = kernel.find(incarnationName);
  const settings = kernel.find(settingsName);
  const outgoing = createOutgoingReports();
  /** By peer address. */
  const incoming = new Map<string, IncomingReports>();
  const asking = new Set<string>();

  /** The pools whose engines each other box reads for this one. */
  const poolsByReader = (): ReadonlyMap<string, ReadonlySet<string>> => {
    const byReader = new Map<string, Set<string>>();
    for (const engine of watch.watchedEngines()) {
      for (const reader of watch.readersOf(engine)) {
        const pools = byReader.get(reader) ?? new Set();
        byReader.set(reader, pools.add(engine.pool));
      }
    }
    byReader.delete(settings.box.name);
    return byReader;
  };

  const ask = async ({ peerAddress }: MemberEntry, pools: ReadonlySet<string>) => {
    if (asking.has(peerAddress)) return;
    const from = incoming.get(peerAddress) ?? createIncomingReports();
    incoming.set(peerAddress, from);
    asking.add(peerAddress);
    const askedAt = clock.now();
    const answer = await peers.readReports(peerAddress, {
      from: self,
      pools: [...pools],
      heldFrom: from.heldFrom(),
      held: from.held(),
    });
    asking.delete(peerAddress);
    answer.ifRight((reply) => {
      for (const { report, requestedAt } of from.applyReply(reply, askedAt)) {
        watch.ingest(report, requestedAt, "relayed");
      }
    });
  };

  const round = () => {
    const members = membership.alive();
    const addresses = new Set(members.map((entry) => entry.peerAddress));
    for (const address of incoming.keys()) if (!addresses.has(address)) incoming.delete(address);
    for (const [box, pools] of poolsByReader()) {
      const entry = members.find((member) => member.box === box);
      if (entry) void ask(entry, pools);
    }
  };

  const interval = settings.targets.report_poll_ms;
  const loop = repeatEvery(clock, kernel.find(randomName), interval, round);
  return {
    answerRequest(request) {
      const pools = new Set(request.pools);
      const held = request.heldFrom === self ? request.held : [];
      const reports = watch.polledReports().filter(({ pool }) => pools.has(pool));
      return {
        from: self,
        reports: outgoing.answer(
          reports.map(({ record: watched }) => watched),
          held,
          clock.now(),
        ),
      };
    },
    start: loop.start,
    stop: loop.stop,
  };
}
