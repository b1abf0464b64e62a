/** Registers the services of one box in the order in which they need each other. */
import { auditName, createAudit } from "@linkfall/audit";
import {
  type CallerService,
  callerServiceName,
  createCallerService,
  createInFlightLimiter,
  inFlightLimiterName,
  ticketIssuerName,
} from "@linkfall/caller-service";
import { completionsName, createCompletions } from "@linkfall/completion";
import { type Settings, settingsName } from "@linkfall/config";
import {
  crashGuardName,
  createCrashGuard,
  persistHeldRequests,
  provideCrashBlame,
} from "@linkfall/crash-guard";
import { clockName, createKernel, type Kernel, randomName, sleep } from "@linkfall/kernel";
import { createLeaseHolder, leaseHolderName } from "@linkfall/lease-holder";
import { createLogFollower, logFollowerName } from "@linkfall/log-follower";
import { createLogWriter, incarnationName, logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { createMembership, membershipName } from "@linkfall/membership";
import { createMetrics, metricsName } from "@linkfall/metrics";
import { createTicketIssuer } from "@linkfall/once";
import {
  createOperatorService,
  type DrainStatus,
  drainStatusName,
  type OperatorService,
  operatorServiceName,
} from "@linkfall/operator-service";
import { createPlainCalls, plainCallsName } from "@linkfall/plain-call";
import { createPoolControl, poolControlName } from "@linkfall/pool-control";
import {
  boxListPortName,
  enginePortName,
  logPortName,
  type PeerHandler,
  peerPortName,
  targetPortName,
} from "@linkfall/ports";
import { createReplicaFinder, replicaFinderName } from "@linkfall/replicas";
import { createReportRelay, reportRelayName } from "@linkfall/report-relay";
import { createSnapshotWriter } from "@linkfall/snapshot-writer";
import { createStateStore, stateStoreName } from "@linkfall/state-store";
import { createTargetLoad, targetLoadName } from "@linkfall/target-load";
import { createTargetWatch, targetWatchName } from "@linkfall/target-watch";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import { createUsageReports, usageReportsName } from "@linkfall/usage-report";
import type { BoxPorts } from "./ports.js";

const drainStepMs: Milliseconds = 100;
const readyCheckMs: Milliseconds = 100;

/** A box that runs. */
export interface Box {
  readonly incarnation: Incarnation;
  readonly kernel: Kernel;
  readonly callers: CallerService;
  readonly operators: OperatorService;
  readonly peerHandler: PeerHandler;
  start(): Promise<void>;
  /** Planned stop: resolves when nothing depends on this box any more and it has stopped. */
  drain(): Promise<void>;
  /** Stops at once; for tests and for a second signal. */
  stop(): Promise<void>;
}

function providePorts(kernel: Kernel, settings: Settings, ports: BoxPorts): Incarnation {
  const incarnation = `${settings.box.name}@${ports.random.identifier()}`;
  kernel.provide(clockName, ports.clock);
  kernel.provide(randomName, ports.random);
  kernel.provide(loggerName, ports.logger);
  kernel.provide(settingsName, settings);
  kernel.provide(metricsName, createMetrics());
  kernel.provide(incarnationName, incarnation);
  kernel.provide(logPortName, ports.log);
  kernel.provide(boxListPortName, ports.boxList);
  kernel.provide(peerPortName, ports.peers);
  kernel.provide(enginePortName, ports.engines);
  kernel.provide(targetPortName, ports.targets);
  return incarnation;
}

/** Services that agree with the other boxes and give orders. */
function provideControl(kernel: Kernel): void {
  kernel.provide(stateStoreName, createStateStore());
  provideCrashBlame(kernel);
  const follower = createLogFollower(kernel);
  kernel.provide(logFollowerName, follower, follower);
  kernel.provide(logWriterName, createLogWriter(kernel));
  persistHeldRequests(kernel);
  const membership = createMembership(kernel);
  kernel.provide(membershipName, membership, membership);
  const leases = createLeaseHolder(kernel);
  kernel.provide(leaseHolderName, leases, leases);
  const watch = createTargetWatch(kernel);
  kernel.provide(targetWatchName, watch, watch);
  const relay = createReportRelay(kernel);
  kernel.provide(reportRelayName, relay, relay);
  const audit = createAudit(kernel);
  kernel.provide(auditName, audit, audit);
  const usage = createUsageReports(kernel);
  kernel.provide(usageReportsName, usage, usage);
  const control = createPoolControl(kernel);
  kernel.provide(poolControlName, control, control);
  kernel.provide({ name: "snapshot-writer" }, undefined, createSnapshotWriter(kernel));
}

/** Services that answer callers. */
function provideServing(kernel: Kernel, settings: Settings, ports: BoxPorts): void {
  const { callers } = settings;
  const self = kernel.find(incarnationName);
  const secret = ports.random.identifier() + ports.random.identifier();
  const office = createTicketIssuer(ports.clock, self, secret, callers.ticket_lifetime_ms);
  kernel.provide(ticketIssuerName, office);
  kernel.provide(inFlightLimiterName, createInFlightLimiter(callers.max_in_flight));
  kernel.provide(targetLoadName, createTargetLoad(kernel));
  kernel.provide(replicaFinderName, createReplicaFinder(kernel));
  kernel.provide(crashGuardName, createCrashGuard(kernel));
  kernel.provide(completionsName, createCompletions(kernel));
  kernel.provide(plainCallsName, createPlainCalls(kernel));
  kernel.provide(callerServiceName, createCallerService(kernel));
}

function createPeerHandler(kernel: Kernel): PeerHandler {
  const membership = kernel.find(membershipName);
  const callers = kernel.find(callerServiceName);
  return {
    heartbeat: membership.receive,
    fetchState: membership.stateForPeer,
    reportUsage: kernel.find(usageReportsName).receive,
    readReports: kernel.find(reportRelayName).answerRequest,
    forward: (request) => callers.handle(request, true),
  };
}

/** Creates a box; it does nothing before it is started. */
export function createBox(settings: Settings, ports: BoxPorts): Box {
  const kernel = createKernel();
  const incarnation = providePorts(kernel, settings, ports);
  provideControl(kernel);
  provideServing(kernel, settings, ports);

  const { clock, logger } = ports;
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const callers = kernel.find(callerServiceName);
  const office = kernel.find(ticketIssuerName);
  let phase: DrainStatus["phase"] = "serving";
  let leftAt = 0;

  /** Time until no caller can hold an address or a ticket of this box any more. */
  const answersEndInMs = () => {
    if (phase === "serving") return settings.callers.entries_lifetime_ms;
    const entriesEnd = leftAt + settings.callers.entries_lifetime_ms;
    return Math.max(0, entriesEnd - clock.now(), office.maxRemainingMs());
  };
  kernel.provide(drainStatusName, () => ({
    phase,
    requestsInFlight: callers.open(),
    answersEndInMs: answersEndInMs(),
  }));
  const operators = createOperatorService(kernel);
  kernel.provide(operatorServiceName, operators, operators);

  const announceReady = () => {
    if (store.ready()) logger.event("boxReady", { offset: store.state().offset });
    else clock.after(readyCheckMs, announceReady);
  };

  const drain = async () => {
    logger.event("boxDraining", { inFlight: callers.open() });
    membership.leave();
    phase = "leaving_answers";
    leftAt = clock.now();
    const released = kernel.find(leaseHolderName).releaseAll();
    while (answersEndInMs() > 0) await sleep(clock, drainStepMs);
    phase = "finishing_requests";
    while (callers.open() > 0) await sleep(clock, drainStepMs);
    await released;
    await kernel.find(auditName).flush();
    await kernel.stop();
    phase = "stopped";
    logger.event("boxStopped");
  };

  return {
    incarnation,
    kernel,
    callers,
    operators,
    peerHandler: createPeerHandler(kernel),
    async start() {
      logger.event("boxStarted", { incarnation });
      await kernel.start();
      announceReady();
    },
    drain,
    stop: kernel.stop,
  };
}
