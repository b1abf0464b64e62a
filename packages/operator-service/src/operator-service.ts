/** Answers the operators' tool. Everything but health and metrics needs an operator's token. */
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

const bearer = /^Bearer (\S+)$/i;
/** Records of the audit stream that one answer looks at. */
const auditRecords = 200;

export interface OperatorService extends Service {
  handle(request: CallerRequest): Promise<CallerResponse>;
}

export const operatorServiceName = serviceName<OperatorService>("operator-service");

function answer(status: number, value: unknown): CallerResponse {
  const headers = { "content-type": "application/json" };
  return { status, headers, body: Buffer.from(`${JSON.stringify(value)}\n`) };
}

function statusOfWrite(written: WriteResponse): number {
  return match(written.kind)
    .with("accepted", () => 200)
    .with("revision_conflict", () => 409)
    .with("invalid_input", () => 422)
    .with("unknown", () => 504)
    .exhaustive();
}

function parseEntries(data: string): readonly AuditEntry[] {
  try {
    const value: unknown = JSON.parse(data);
    return Array.isArray(value) ? value : [];
  } catch {
    return [];
  }
}

/** Creates the service of one box. */
export function createOperatorService(kernel: Kernel): OperatorService {
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const metrics = kernel.find(metricsName);
  const control = kernel.find(poolControlName);
  const leases = kernel.find(leaseHolderName);
  const log = kernel.find(logPortName);
  const drain = kernel.find(drainStatusName);
  const settings = kernel.find(settingsName);
  const blame = kernel.find(crashBlameName);
  const status = createStatusView(kernel);
  const watchers = createWatchers(kernel, status);
  const takeWrite = createWriteHandler(kernel);
  const operators = new Map(
    settings.operators.tokens.map((entry) => {
      const mark = entry.indexOf(":");
      return [entry.slice(mark + 1), entry.slice(0, mark)] as const;
    }),
  );

  const whoIs = (request: CallerRequest): string | undefined => {
    const token = bearer.exec(request.headers["authorization"] ?? "")?.[1];
    if (token === undefined) return undefined;
    return operators.get(createHash("sha256").update(token).digest("hex"));
  };

  const statusAnswer = (): StatusResponse => ({
    box: settings.box.name,
    offset: store.state().offset,
    ready: store.ready(),
    isolated: membership.isolated(),
    drain: drain(),
    sessions: control.sessions(),
    models: status.models(),
    engines: status.engines(),
  });

  const boxLines = (): readonly BoxSummary[] => {
    const alive = new Set(membership.alive().map((entry) => entry.incarnation));
    const all = [membership.self(), ...membership.known().map((member) => member.entry)];
    const pools = [...store.desired().pools.keys()];
    const names = membership.serving().map((entry) => entry.box);
    return all.map((entry) => ({
      box: entry.box,
      incarnation: entry.incarnation,
      domain: entry.domain,
      callerAddress: entry.callerAddress,
      state: !alive.has(entry.incarnation) ? "suspected" : entry.leaving ? "leaving" : "alive",
      pools: pools.filter((pool) =>
        topNodes(pool, names, settings.lease.boxes_per_pool).includes(entry.box),
      ),
    }));
  };

  /** The newest entries of the audit stream; none while the log does not answer. */
  const auditActions = async (): Promise<readonly AuditEntry[]> => {
    const readFrom = (from: Offset) => log.read(streams.audit, from, auditRecords);
    let read = await readFrom(1);
    const failure = read.swap().toMaybe().extract();
    if (failure?.kind === "log_truncated") read = await readFrom(failure.first);
    const newest = read.map((batch) => batch.newest).orDefault(0);
    if (newest > auditRecords) read = await readFrom(newest - auditRecords + 1);
    return read
      .map((batch) => batch.entries.flatMap((entry) => parseEntries(entry.data)))
      .orDefault([]);
  };

  const auditAnswer = async (): Promise<AuditResponse> => ({
    writes: store.state().history,
    actions: await auditActions(),
  });

  const watch = (query: URLSearchParams, gone: AbortSignal): CallerResponse => ({
    status: 200,
    headers: { "content-type": "text/event-stream" },
    body: watchers.watch(Number(query.get("after") ?? store.state().offset), gone),
  });

  const openPage = (path: string): CallerResponse | undefined => {
    if (path === "/health/live") return answer(200, { live: true });
    if (path === "/health/ready") {
      const ready = store.ready() && !membership.isolated() && !membership.self().leaving;
      return answer(ready ? 200 : 503, { ready });
    }
    if (path !== "/metrics") return undefined;
    const headers = { "content-type": "text/plain; version=0.0.4" };
    return { status: 200, headers, body: Buffer.from(metrics.expose()) };
  };

  const operatorPage = async (
    request: CallerRequest,
    who: string,
    path: string,
    query: URLSearchParams,
  ): Promise<CallerResponse> =>
    match([request.method, path])
      .with(["POST", "/v1/writes"], async () => {
        const written = await takeWrite(who, request.body);
        return answer(statusOfWrite(written), written);
      })
      .with(["GET", "/v1/resources"], async () =>
        answer(200, {
          offset: store.state().offset,
          resources: [...store.state().resources.values()],
        }),
      )
      .with(["GET", "/v1/status"], async () => answer(200, statusAnswer()))
      .with(["GET", "/v1/boxes"], async () => answer(200, { boxes: boxLines() }))
      .with(["GET", "/v1/leases"], async () =>
        answer(200, { leases: [...store.state().leases.values()], held: leases.heldLeases() }),
      )
      .with(["GET", "/v1/audit"], async () => answer(200, await auditAnswer()))
      .with(["GET", heldRequestsPath], async () => answer(200, { held: blame.heldRequests() }))
      .with(["DELETE", heldRequestsPath], async () => {
        const released = blame.release(query.get("request") ?? "");
        return answer(released ? 200 : 404, { released });
      })
      .with(["GET", "/v1/watch"], async () => watch(query, request.signal))
      .with(P._, async () => answer(404, { error: { code: "unknown_path", reason: path } }))
      .exhaustive();

  return {
    async handle(request) {
      const [path, queryText] = request.path.split("?", 2);
      const open = openPage(path);
      if (open) return open;
      const who = whoIs(request);
      if (who === undefined) {
        return answer(401, {
          error: { code: "unauthenticated", reason: "an operator's token is needed" },
        });
      }
      return operatorPage(request, who, path, new URLSearchParams(queryText));
    },
    start: watchers.start,
    stop: watchers.stop,
  };
}
