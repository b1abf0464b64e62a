/** Asks a box's operator interface. */
import { request as plainRequest } from "node:http";
import { request as tlsRequest } from "node:https";
import { heldRequestsPath } from "@linkfall/crash-blame";
import { limitedTargetsPath } from "@linkfall/target-limits";
import type {
  AuditResponse,
  BoxSummary,
  ResourcesResponse,
  StatusResponse,
  WatchEvent,
  WriteResponse,
} from "@linkfall/operator-service";
import type { Change, HeldRequest, LimitedTarget, Revision } from "@linkfall/types";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { type Either, Left, Right } from "purify-ts";

/** Where the box is, and who asks. */
export interface BoxEndpoint {
  /** `http://ip:port` or `https://ip:port`. */
  readonly url: string;
  readonly token: string;
  /** Authority of the box's certificate, PEM. */
  readonly ca?: string;
}

/** The box could not be asked, or did not accept the operator. */
export interface RequestFailure {
  readonly kind: "unreachable" | "unauthenticated" | "unexpected";
  readonly reason: string;
}

type ClientResult<T> = Promise<Either<RequestFailure, T>>;

export interface OperatorClient {
  resources(): ClientResult<ResourcesResponse>;
  write(changes: readonly Change[]): ClientResult<WriteResponse>;
  status(): ClientResult<StatusResponse>;
  boxes(): ClientResult<readonly BoxSummary[]>;
  audit(): ClientResult<AuditResponse>;
  /** Requests that are held back by boxes that forward opaque requests. */
  heldRequests(): ClientResult<readonly HeldRequest[]>;
  /** Lets one through again; false where it is not held back. */
  releaseRequest(fingerprint: string): ClientResult<boolean>;
  /** Targets whose limits hold, as one box that forwards opaque requests knows them. */
  limitedTargets(): ClientResult<readonly LimitedTarget[]>;
  /** Calls `take` for each event until the connection ends or `signal` is aborted. */
  watch(
    after: Revision | undefined,
    take: (event: WatchEvent) => void,
    signal: AbortSignal,
  ): ClientResult<void>;
}

interface RawAnswer {
  readonly status: number;
  readonly text: string;
}

const unauthenticated = 401;
/** Statuses by which a write is answered. */
const writeStatuses = [200, 409, 422, 504];
/** Statuses by which a release is answered. */
const releaseStatuses = [200, 404];

/** Creates a client for one box. */
export function createOperatorClient(target: BoxEndpoint): OperatorClient {
  const send = (
    method: string,
    path: string,
    body: string,
    onText: (text: string) => void,
    signal?: AbortSignal,
  ) =>
    new Promise<Either<RequestFailure, RawAnswer>>((resolve) => {
      const start = target.url.startsWith("https:") ? tlsRequest : plainRequest;
      const fail = (problem: Error) =>
        resolve(Left({ kind: "unreachable", reason: `${target.url}: ${problem.message}` }));
      const headers = {
        authorization: `Bearer ${target.token}`,
        "content-type": "application/json",
      };
      const options = { method, headers, signal, ca: target.ca, agent: false as const };
      const sent = start(new URL(path, target.url), options, (message) => {
        let text = "";
        message.setEncoding("utf8");
        message.on("data", (chunk: string) => {
          text += chunk;
          onText(chunk);
        });
        message.on("end", () => resolve(Right({ status: message.statusCode ?? 0, text })));
        message.on("error", fail);
      });
      sent.on("error", fail);
      sent.end(body);
    });

  const ask = async <T>(
    method: string,
    path: string,
    body: unknown,
    statuses: readonly number[],
  ): ClientResult<T> => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const answer = await send(method, path, text, () => undefined);
    return answer.chain((raw): Either<RequestFailure, T> => {
      if (raw.status === unauthenticated) {
        return Left({ kind: "unauthenticated", reason: "the box does not know this token" });
      }
      if (statuses.includes(raw.status)) return Right(JSON.parse(raw.text) as T);
      return Left({ kind: "unexpected", reason: `status ${raw.status}: ${raw.text.trim()}` });
    });
  };
  const get = <T>(path: string) => ask<T>("GET", path, undefined, [200]);

  return {
    resources: () => get<ResourcesResponse>("/v1/resources"),
    write: (changes) => ask<WriteResponse>("POST", "/v1/writes", { changes }, writeStatuses),
    status: () => get<StatusResponse>("/v1/status"),
    async boxes() {
      const answer = await get<{ boxes: readonly BoxSummary[] }>("/v1/boxes");
      return answer.map(({ boxes }) => boxes);
    },
    audit: () => get<AuditResponse>("/v1/audit"),
    async heldRequests() {
      const answer = await get<{ held: readonly HeldRequest[] }>(heldRequestsPath);
      return answer.map(({ held }) => held);
    },
    async releaseRequest(fingerprint) {
      const path = `${heldRequestsPath}?request=${encodeURIComponent(fingerprint)}`;
      const answer = await ask<{ released: boolean }>("DELETE", path, undefined, releaseStatuses);
      return answer.map(({ released }) => released);
    },
    async limitedTargets() {
      const answer = await get<{ limited: readonly LimitedTarget[] }>(limitedTargetsPath);
      return answer.map(({ limited }) => limited);
    },
    async watch(after, take, signal) {
      const onEvent = (message: EventSourceMessage) => take(JSON.parse(message.data) as WatchEvent);
      const parser = createParser({ onEvent });
      const query = after === undefined ? "" : `?after=${after}`;
      const ended = await send("GET", `/v1/watch${query}`, "", (text) => parser.feed(text), signal);
      return ended.chain((raw): Either<RequestFailure, void> =>
        raw.status === 200
          ? Right(undefined)
          : Left({ kind: "unexpected", reason: `status ${raw.status}` }),
      );
    },
  };
}
