/** HTTP servers for the test doubles. `POST /faults` injects faults. */
import { createHttpFront, type HttpFront } from "@linkfall/http-front";
import type { Clock } from "@linkfall/kernel";
import type {
  BodyPart,
  CallerRequest,
  CallerResponse,
  StreamName,
  TargetResponse,
} from "@linkfall/ports";
import type { ListedBox, Order } from "@linkfall/types";
import { match, P } from "ts-pattern";
import type { BoxListCore } from "./box-list-core.js";
import type { EngineRequest } from "./engine-batch.js";
import type { EngineCore } from "./engine-core.js";
import type { LogCore } from "./log-core.js";
import type { ServiceCore } from "./service-core.js";

const limits = { maxBodyBytes: 64_000_000, maxHeaderBytes: 16_384, bodyTimeoutMs: 30_000 };

type RequestHandler = (
  request: CallerRequest,
  path: string,
  query: URLSearchParams,
) => Promise<CallerResponse>;

function jsonResponse(status: number, value: unknown): CallerResponse {
  const headers = { "content-type": "application/json" };
  return { status, headers, body: Buffer.from(JSON.stringify(value)) };
}

function parseBody<T>(request: CallerRequest): T {
  return JSON.parse(Buffer.from(request.body).toString("utf8")) as T;
}

function serve(clock: Clock, address: string, handle: RequestHandler): HttpFront {
  return createHttpFront({
    clock,
    address,
    limits,
    handle(request) {
      const [path, query] = request.path.split("?", 2);
      return handle(request, path, new URLSearchParams(query));
    },
    onDefect(_path, defect) {
      throw defect;
    },
  });
}

/** Serves a log over HTTP. */
export function serveLog(clock: Clock, address: string, core: LogCore): HttpFront {
  return serve(clock, address, async (request, path, query) => {
    if (path === "/faults") {
      Object.assign(core.faults, parseBody(request));
      return jsonResponse(200, core.faults);
    }
    const stream = path.split("/")[2] as StreamName;
    const failureResponse = (failure: { kind: string; first?: number }) =>
      match(failure.kind)
        .with("log_truncated", () => jsonResponse(410, { first: failure.first }))
        .with("log_busy", () => jsonResponse(429, {}))
        .otherwise(() => jsonResponse(503, {}));
    if (request.method === "POST") {
      const appended = await core.append(stream, parseBody<{ data: string }>(request).data);
      return appended.caseOf({
        Left: failureResponse,
        Right: (offset) => jsonResponse(200, { offset }),
      });
    }
    const from = Number(query.get("from"));
    const read = await core.read(stream, from, Number(query.get("limit")));
    return read.caseOf({ Left: failureResponse, Right: (batch) => jsonResponse(200, batch) });
  });
}

/** Serves a box list; `POST /boxes` and `POST /leaving-targets` change it. */
export function serveBoxList(clock: Clock, address: string, core: BoxListCore): HttpFront {
  return serve(clock, address, async (request, path) => {
    if (request.method === "GET") {
      const list = await core.read();
      return list.caseOf({
        Left: () => jsonResponse(503, {}),
        Right: (shown) =>
          jsonResponse(200, { boxes: shown.boxes, leaving_targets: shown.leavingTargets }),
      });
    }
    if (path === "/faults") core.down = parseBody<{ down: boolean }>(request).down;
    if (path === "/boxes") core.set(parseBody<ListedBox>(request));
    if (path === "/leaving-targets") {
      const change = parseBody<{ target: string; leaving: boolean }>(request);
      core.setTargetLeaving(change.target, change.leaving);
    }
    return jsonResponse(200, {});
  });
}

function toCallerResponse(response: TargetResponse): CallerResponse {
  return { status: response.status, headers: response.headers, body: response.body };
}

/** Stops a response body when the caller disconnects. */
async function* untilDisconnected(
  body: AsyncIterable<BodyPart>,
  gone: AbortSignal,
): AsyncGenerator<BodyPart> {
  for await (const part of body) {
    if (gone.aborted) return;
    yield part;
  }
}

/** Serves an engine over HTTP. */
export function serveEngine(clock: Clock, address: string, core: EngineCore): HttpFront {
  const attemptOf = (path: string) => decodeURIComponent(path.split("/")[3]);
  return serve(clock, address, async (request, path, query) =>
    match([request.method, path])
      .with(["GET", "/report"], () => jsonResponse(200, core.report()))
      .with(["POST", "/fence"], () =>
        jsonResponse(200, core.raiseFence(parseBody<{ epoch: number }>(request).epoch)),
      )
      .with(["POST", "/orders"], () => jsonResponse(200, core.order(parseBody<Order>(request))))
      .with(["GET", "/cache-events"], () =>
        jsonResponse(200, core.cacheEvents(Number(query.get("after")))),
      )
      .with(["POST", "/faults"], () => {
        const fault = parseBody<{ restart?: boolean; leaving?: boolean }>(request);
        if (fault.restart) core.restart();
        if (fault.leaving !== undefined) core.leaving = fault.leaving;
        return jsonResponse(200, {});
      })
      .with(["POST", "/v1/completions"], () => {
        const attempt = request.headers["x-attempt-id"] ?? "";
        const response = core.complete(attempt, parseBody<EngineRequest>(request));
        return toCallerResponse({
          ...response,
          body: untilDisconnected(response.body, request.signal),
        });
      })
      .with(["GET", P._], () =>
        toCallerResponse(core.resume(attemptOf(path), Number(query.get("from")))),
      )
      .with(["DELETE", P._], () => {
        core.cancel(attemptOf(path));
        return jsonResponse(200, {});
      })
      .otherwise(() => jsonResponse(404, {})),
  );
}

/** Serves one target of a service without models over HTTP. */
export function serveService(clock: Clock, address: string, core: ServiceCore): HttpFront {
  let down = false;
  return serve(clock, address, async (request, path) => {
    if (path === "/faults") {
      down = parseBody<{ down: boolean }>(request).down;
      return jsonResponse(200, { down });
    }
    if (down) return jsonResponse(503, {});
    const response = await core.call(request);
    return response ? toCallerResponse(response) : jsonResponse(502, {});
  });
}
