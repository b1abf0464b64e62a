/**
 * Relays engine reports between boxes. Each engine is polled by a few boxes of its pool, selected by rendezvous hashing; the
 * other boxes request the reports from those. Reports are sent with their age, as clocks differ between boxes. A box that
 * receives no recent report of an engine polls it itself (see target-watch).
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

/** Relays reports to other boxes. */
export interface ReportRelay {
  /** Returns the reports requested by another box. */
  answerRequest(request: ReportsRequest): ReportsReply;
}

/** Name of the relay in the kernel. */
export const reportRelayName = serviceName<ReportRelay>("report-relay");

/** Creates the relay of one box, which requests reports from other boxes while it is started. */
export function createReportRelay(kernel: Kernel): ReportRelay & Service {
  const clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const peers = kernel.find(peerPortName);
  const targetWatch = kernel.find(targetWatchName);
  const self = kernel.find(incarnationName);
  const settings = kernel.find(settingsName);
  const outgoing = createOutgoingReports();
  /** Received reports, by peer address. */
  const incomingByAddress = new Map<string, IncomingReports>();
  /** Peer addresses with a request in flight. */
  const pendingRequests = new Set<string>();

  /** Pools whose reports this box requests from other boxes, by the name of the box. */
  const poolsByReader = (): ReadonlyMap<string, ReadonlySet<string>> => {
    const byReader = new Map<string, Set<string>>();
    for (const engine of targetWatch.watchedEngines()) {
      for (const reader of targetWatch.readersOf(engine)) {
        const pools = byReader.get(reader) ?? new Set();
        byReader.set(reader, pools.add(engine.pool));
      }
    }
    byReader.delete(settings.box.name);
    return byReader;
  };

  const requestReports = async ({ peerAddress }: MemberEntry, pools: ReadonlySet<string>) => {
    if (pendingRequests.has(peerAddress)) return;
    const received = incomingByAddress.get(peerAddress) ?? createIncomingReports();
    incomingByAddress.set(peerAddress, received);
    pendingRequests.add(peerAddress);
    const askedAt = clock.now();
    const result = await peers.readReports(peerAddress, {
      from: self,
      pools: [...pools],
      heldFrom: received.heldFrom(),
      held: received.held(),
    });
    pendingRequests.delete(peerAddress);
    result.ifRight((reply) => {
      for (const { report, requestedAt } of received.applyReply(reply, askedAt)) {
        targetWatch.ingest(report, requestedAt, "relayed");
      }
    });
  };

  const pollPeers = () => {
    const members = membership.alive();
    const addresses = new Set(members.map((entry) => entry.peerAddress));
    for (const address of incomingByAddress.keys())
      if (!addresses.has(address)) incomingByAddress.delete(address);
    for (const [box, pools] of poolsByReader()) {
      const entry = members.find((member) => member.box === box);
      if (entry) void requestReports(entry, pools);
    }
  };

  const intervalMs = settings.targets.report_poll_ms;
  const loop = repeatEvery(clock, kernel.find(randomName), intervalMs, pollPeers);
  return {
    answerRequest(request) {
      const pools = new Set(request.pools);
      const held = request.heldFrom === self ? request.held : [];
      const reports = targetWatch.polledReports().filter(({ pool }) => pools.has(pool));
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
