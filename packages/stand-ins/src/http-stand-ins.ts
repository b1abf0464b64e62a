/** The stand-ins behind real addresses, with `POST /faults` to switch faults on. */
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

type Handle = (
  request: CallerRequest,
  path: string,
  query: URLSearchParams,
) => Promise<CallerResponse>;

function json(status: number, value: unknown): CallerResponse {
  const headers = { "content-type": "application/json" };
  return { status, headers, body: Buffer.from(JSON.stringify(value)) };
}

function bodyOf<T>(request: CallerRequest): T {
  return JSON.parse(Buffer.from(request.body).toString("utf8")) as T;
}

function serve(clock: Clock, address: string, handle: Handle): HttpFront {
  return createHttpFront({
    clock,
    address,
    limits,
    handle(request) {
      const [path, query] = request.path.split("?", 2);
      return handle(request, path, new URLSearchParams(query));
    },
    onDefect(problem) {
      throw problem;
    },
  });
}

/** Serves a log. */
export function serveLog(clock: Clock, address: string, core: LogCore): HttpFront {
  return serve(clock, address, async (request, path, query) => {
    if (path === "/faults") {
      Object.assign(core.faults, bodyOf(request));
      return json(200, core.faults);
    }
    const stream = path.split("/")[2] as StreamName;
    const failed = (failure: { kind: string; first?: number }) =>
      match(failure.kind)
        .with("log_truncated", () => json(410, { first: failure.first }))
        .with("log_busy", () => json(429, {}))
        .otherwise(() => json(503, {}));
    if (request.method === "POST") {
      const appended = await core.append(stream, bodyOf<{ data: string }>(request).data);
      return appended.caseOf({ Left: failed, Right: (offset) => json(200, { offset }) });
    }
    const from = Number(query.get("from"));
    const read = await core.read(stream, from, Number(query.get("limit")));
    return read.caseOf({ Left: failed, Right: (batch) => json(200, batch) });
  });
}

/** Serves a box list; `POST /boxes` and `POST /leaving-targets` change it. */
export function serveBoxList(clock: Clock, address: string, core: BoxListCore): HttpFront {
  return serve(clock, address, async (request, path) => {
    if (request.method === "GET") {
      const list = await core.read();
      return list.caseOf({
        Left: () => json(503, {}),
        Right: (shown) => json(200, { boxes: shown.boxes, leaving_targets: shown.leavingTargets }),
      });
    }
    if (path === "/faults") core.down = bodyOf<{ down: boolean }>(request).down;
    if (path === "/boxes") core.set(bodyOf<ListedBox>(request));
    if (path === "/leaving-targets") {
      const change = bodyOf<{ target: string; leaving: boolean }>(request);
      core.setTargetLeaving(change.target, change.leaving);
    }
    return json(200, {});
  });
}

function passed(response: TargetResponse): CallerResponse {
  return { status: response.status, headers: response.headers, body: response.body };
}

/** Ends a response like a cut connection when the caller goes. */
async function* untilGone(
  body: AsyncIterable<BodyPart>,
  gone: AbortSignal,
): AsyncGenerator<BodyPart> {
  for await (const part of body) {
    if (gone.aborted) return;
    yield part;
  }
}

/** Serves an engine. */
export function serveEngine(clock: Clock, address: string, core: EngineCore): HttpFront {
  const attemptOf = (path: string) => decodeURIComponent(path.split("/")[3]);
  return serve(clock, address, async (request, path, query) =>
    match([request.method, path])
      .with(["GET", "/report"], () => json(200, core.report()))
      .with(["POST", "/fence"], () =>
        json(200, core.raiseFence(bodyOf<{ epoch: number }>(request).epoch)),
      )
      .with(["POST", "/orders"], () => json(200, core.order(bodyOf<Order>(request))))
      .with(["GET", "/cache-events"], () => json(200, core.cacheEvents(Number(query.get("after")))))
      .with(["POST", "/faults"], () => {
        const fault = bodyOf<{ restart?: boolean; leaving?: boolean }>(request);
        if (fault.restart) core.restart();
        if (fault.leaving !== undefined) core.leaving = fault.leaving;
        return json(200, {});
      })
      .with(["POST", "/v1/completions"], () => {
        const attempt = request.headers["x-attempt-id"] ?? "";
        const response = core.complete(attempt, bodyOf<EngineRequest>(request));
        return passed({ ...response, body: untilGone(response.body, request.signal) });
      })
      .with(["GET", P._], () => passed(core.resume(attemptOf(path), Number(query.get("from")))))
      .with(["DELETE", P._], () => {
        core.cancel(attemptOf(path));
        return json(200, {});
      })
      .otherwise(() => json(404, {})),
  );
}

/** Serves one target of a plain service. */
export function serveService(clock: Clock, address: string, core: ServiceCore): HttpFront {
  let down = false;
  return serve(clock, address, async (request, path) => {
    if (path === "/faults") {
      down = bodyOf<{ down: boolean }>(request).down;
      return json(200, { down });
    }
    if (down) return json(503, {});
    const answered = await core.call(request);
    return answered ? passed(answered) : json(502, {});
  });
}
