/** HTTP API for operators. All paths except health and metrics require an operator token. */
import { createHash } from "node:crypto";
import { settingsName } from "@linkfall/config";
import { crashBlameName, heldRequestsPath } from "@linkfall/crash-blame";
import { type Kernel, type Service, serviceName } from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import { membershipName } from "@linkfall/membership";
import { metricsName } from "@linkfall/metrics";
import { poolControlName } from "@linkfall/pool-control";
import { type CallerRequest, type CallerResponse, logPortName, streams } from "@linkfall/ports";
import { topNodes } from "@linkfall/rendezvous";
import { stateStoreName } from "@linkfall/state-store";
import type { AuditEntry, Offset } from "@linkfall/types";
import { match, P } from "ts-pattern";
import type { AuditResponse, BoxSummary, StatusResponse, WriteResponse } from "./api-types.js";
import { drainStatusName } from "./drain-status.js";
import { createStatusView } from "./status-view.js";
import { createWatchers } from "./watchers.js";
import { createWriteHandler } from "./write-handler.js";

const bearerPattern = /^Bearer (\S+)$/i;
/** Maximum number of audit stream records read for one response. */
const maxAuditRecords = 200;

export interface OperatorService extends Service {
  handle(request: CallerRequest): Promise<CallerResponse>;
}

export const operatorServiceName = serviceName<OperatorService>("operator-service");

function respondWithJson(status: number, value: unknown): CallerResponse {
  const headers = { "content-type": "application/json" };
  return { status, headers, body: Buffer.from(`${JSON.stringify(value)}\n`) };
}

function writeStatusCode(written: WriteResponse): number {
  return match(written.kind)
    .with("accepted", () => 200)
    .with("revision_conflict", () => 409)
    .with("invalid_input", () => 422)
    .with("unknown", () => 504)
    .exhaustive();
}

function parseEntries(data: string): readonly AuditEntry[] {
  try {
    const entries: unknown = JSON.parse(data);
    return Array.isArray(entries) ? entries : [];
  } catch {
    return [];
  }
}

/** Creates the operator service of this box. */
export function createOperatorService(kernel: Kernel): OperatorService {
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const metrics = kernel.find(metricsName);
  const poolControl = kernel.find(poolControlName);
  const leases = kernel.find(leaseHolderName);
  const log = kernel.find(logPortName);
  const drainStatus = kernel.find(drainStatusName);
  const settings = kernel.find(settingsName);
  const crashBlame = kernel.find(crashBlameName);
  const status = createStatusView(kernel);
  const watchers = createWatchers(kernel, status);
  const handleWrite = createWriteHandler(kernel);
  const operators = new Map(
    settings.operators.tokens.map((entry) => {
      const separator = entry.indexOf(":");
      return [entry.slice(separator + 1), entry.slice(0, separator)] as const;
    }),
  );

  const authenticate = (request: CallerRequest): string | undefined => {
    const token = bearerPattern.exec(request.headers["authorization"] ?? "")?.[1];
    if (token === undefined) return undefined;
    return operators.get(createHash("sha256").update(token).digest("hex"));
  };

  const statusResponse = (): StatusResponse => ({
    box: settings.box.name,
    offset: store.state().offset,
    ready: store.ready(),
    isolated: membership.isolated(),
    drain: drainStatus(),
    sessions: poolControl.sessions(),
    models: status.models(),
    engines: status.engines(),
  });

  const boxSummaries = (): readonly BoxSummary[] => {
    const aliveIncarnations = new Set(membership.alive().map((entry) => entry.incarnation));
    const members = [membership.self(), ...membership.known().map((member) => member.entry)];
    const pools = [...store.desired().pools.keys()];
    const servingBoxes = membership.serving().map((entry) => entry.box);
    return members.map((entry) => ({
      box: entry.box,
      incarnation: entry.incarnation,
      domain: entry.domain,
      callerAddress: entry.callerAddress,
      state: !aliveIncarnations.has(entry.incarnation)
        ? "suspected"
        : entry.leaving
          ? "leaving"
          : "alive",
      pools: pools.filter((pool) =>
        topNodes(pool, servingBoxes, settings.lease.boxes_per_pool).includes(entry.box),
      ),
    }));
  };

  /** Returns the newest entries of the audit stream; empty while the log is unreachable. */
  const auditActions = async (): Promise<readonly AuditEntry[]> => {
    const readFrom = (from: Offset) => log.read(streams.audit, from, maxAuditRecords);
    let readResult = await readFrom(1);
    const failure = readResult.swap().toMaybe().extract();
    if (failure?.kind === "log_truncated") readResult = await readFrom(failure.first);
    const newest = readResult.map((batch) => batch.newest).orDefault(0);
    if (newest > maxAuditRecords) readResult = await readFrom(newest - maxAuditRecords + 1);
    return readResult
      .map((batch) => batch.entries.flatMap((entry) => parseEntries(entry.data)))
      .orDefault([]);
  };

  const auditResponse = async (): Promise<AuditResponse> => ({
    writes: store.state().history,
    actions: await auditActions(),
  });

  const watch = (query: URLSearchParams, gone: AbortSignal): CallerResponse => ({
    status: 200,
    headers: { "content-type": "text/event-stream" },
    body: watchers.watch(Number(query.get("after") ?? store.state().offset), gone),
  });

  const handlePublicRequest = (path: string): CallerResponse | undefined => {
    if (path === "/health/live") return respondWithJson(200, { live: true });
    if (path === "/health/ready") {
      const ready = store.ready() && !membership.isolated() && !membership.self().leaving;
      return respondWithJson(ready ? 200 : 503, { ready });
    }
    if (path !== "/metrics") return undefined;
    const headers = { "content-type": "text/plain; version=0.0.4" };
    return { status: 200, headers, body: Buffer.from(metrics.expose()) };
  };

  const handleOperatorRequest = async (
    request: CallerRequest,
    operator: string,
    path: string,
    query: URLSearchParams,
  ): Promise<CallerResponse> =>
    match([request.method, path])
      .with(["POST", "/v1/writes"], async () => {
        const written = await handleWrite(operator, request.body);
        return respondWithJson(writeStatusCode(written), written);
      })
      .with(["GET", "/v1/resources"], async () =>
        respondWithJson(200, {
          offset: store.state().offset,
          resources: [...store.state().resources.values()],
        }),
      )
      .with(["GET", "/v1/status"], async () => respondWithJson(200, statusResponse()))
      .with(["GET", "/v1/boxes"], async () => respondWithJson(200, { boxes: boxSummaries() }))
      .with(["GET", "/v1/leases"], async () =>
        respondWithJson(200, {
          leases: [...store.state().leases.values()],
          held: leases.heldLeases(),
        }),
      )
      .with(["GET", "/v1/audit"], async () => respondWithJson(200, await auditResponse()))
      .with(["GET", heldRequestsPath], async () =>
        respondWithJson(200, { held: crashBlame.heldRequests() }),
      )
      .with(["DELETE", heldRequestsPath], async () => {
        const released = crashBlame.release(query.get("request") ?? "");
        return respondWithJson(released ? 200 : 404, { released });
      })
      .with(["GET", "/v1/watch"], async () => watch(query, request.signal))
      .with(P._, async () =>
        respondWithJson(404, { error: { code: "unknown_path", reason: path } }),
      )
      .exhaustive();

  return {
    async handle(request) {
      const [path, queryText] = request.path.split("?", 2);
      const publicResponse = handlePublicRequest(path);
      if (publicResponse) return publicResponse;
      const operator = authenticate(request);
      if (operator === undefined) {
        return respondWithJson(401, {
          error: { code: "unauthenticated", reason: "an operator token is required" },
        });
      }
      return handleOperatorRequest(request, operator, path, new URLSearchParams(queryText));
    },
    start: watchers.start,
    stop: watchers.stop,
  };
}
