/** Assembles a box: registers its services in the order of their dependencies. */
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

const drainPollMs: Milliseconds = 100;
const readyPollMs: Milliseconds = 100;

/** The server for callers, as far as a planned stop needs it. */
export interface DrainingFront {
  /** From now on responses close their connections. */
  closeBehindResponses(): void;
  /** Accepts no new connections and closes idle ones. */
  stopListening(): Promise<void>;
  /** Resolves when all connections are closed. */
  close(): Promise<void>;
}

/** A box and its entry points for callers, operators and peers. */
export interface Box {
  readonly incarnation: Incarnation;
  readonly kernel: Kernel;
  readonly callers: CallerService;
  readonly operators: OperatorService;
  readonly peerHandler: PeerHandler;
  start(): Promise<void>;
  /**
   * Performs a planned stop: announces it, waits until entries and tickets of this box have expired
   * and its requests have completed, closes the server for callers if there is one, then stops the services.
   */
  drain(front?: DrainingFront): Promise<void>;
  /** Stops immediately, without draining. */
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

/** Registers the services that coordinate with other boxes and control engines. */
function provideControlServices(kernel: Kernel): void {
  kernel.provide(stateStoreName, createStateStore());
  provideCrashBlame(kernel);
  const logFollower = createLogFollower(kernel);
  kernel.provide(logFollowerName, logFollower, logFollower);
  kernel.provide(logWriterName, createLogWriter(kernel));
  persistHeldRequests(kernel);
  const membership = createMembership(kernel);
  kernel.provide(membershipName, membership, membership);
  const leaseHolder = createLeaseHolder(kernel);
  kernel.provide(leaseHolderName, leaseHolder, leaseHolder);
  const targetWatch = createTargetWatch(kernel);
  kernel.provide(targetWatchName, targetWatch, targetWatch);
  const reportRelay = createReportRelay(kernel);
  kernel.provide(reportRelayName, reportRelay, reportRelay);
  const audit = createAudit(kernel);
  kernel.provide(auditName, audit, audit);
  const usageReports = createUsageReports(kernel);
  kernel.provide(usageReportsName, usageReports, usageReports);
  const poolControl = createPoolControl(kernel);
  kernel.provide(poolControlName, poolControl, poolControl);
  kernel.provide({ name: "snapshot-writer" }, undefined, createSnapshotWriter(kernel));
}

/** Registers the services that handle callers' requests. */
function provideCallerServices(kernel: Kernel, settings: Settings, ports: BoxPorts): void {
  const { callers } = settings;
  const incarnation = kernel.find(incarnationName);
  const ticketSecret = ports.random.identifier() + ports.random.identifier();
  const ticketIssuer = createTicketIssuer(
    ports.clock,
    incarnation,
    ticketSecret,
    callers.ticket_lifetime_ms,
  );
  kernel.provide(ticketIssuerName, ticketIssuer);
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

/** Creates a box, which is inactive until it is started. */
export function createBox(settings: Settings, ports: BoxPorts): Box {
  const kernel = createKernel();
  const incarnation = providePorts(kernel, settings, ports);
  provideControlServices(kernel);
  provideCallerServices(kernel, settings, ports);

  const { clock, logger } = ports;
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const callers = kernel.find(callerServiceName);
  const ticketIssuer = kernel.find(ticketIssuerName);
  let phase: DrainStatus["phase"] = "serving";
  let leavingSinceMs = 0;

  /** Time until all lists of entries and all tickets that name this box have expired. */
  const answersEndInMs = () => {
    if (phase === "serving") return settings.callers.entries_lifetime_ms;
    const entriesExpireAt = leavingSinceMs + settings.callers.entries_lifetime_ms;
    return Math.max(0, entriesExpireAt - clock.now(), ticketIssuer.maxRemainingMs());
  };
  kernel.provide(drainStatusName, () => ({
    phase,
    requestsInFlight: callers.open(),
    answersEndInMs: answersEndInMs(),
  }));
  const operators = createOperatorService(kernel);
  kernel.provide(operatorServiceName, operators, operators);

  const logWhenReady = () => {
    if (store.ready()) logger.event("boxReady", { offset: store.state().offset });
    else clock.after(readyPollMs, logWhenReady);
  };

  const drain = async (front?: DrainingFront) => {
    logger.event("boxDraining", { inFlight: callers.open() });
    front?.closeBehindResponses();
    membership.leave();
    phase = "leaving_answers";
    leavingSinceMs = clock.now();
    const leasesReleased = kernel.find(leaseHolderName).releaseAll();
    while (answersEndInMs() > 0) await sleep(clock, drainPollMs);
    phase = "finishing_requests";
    await front?.stopListening();
    while (callers.open() > 0) await sleep(clock, drainPollMs);
    // Requests that come on open connections meanwhile are still served.
    await front?.close();
    await leasesReleased;
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
      logWhenReady();
    },
    drain,
    stop: kernel.stop,
  };
}
