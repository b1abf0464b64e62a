/** Client of a box's operator API. */
import { request as plainRequest } from "node:http";
import { request as tlsRequest } from "node:https";
import { watchCompleteness } from "@linkfall/connection-reset";
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
import { Either, Left, Right } from "purify-ts";

/** Address of a box's operator API and the operator's credentials. */
export interface BoxEndpoint {
  /** `http://ip:port` or `https://ip:port`. */
  readonly url: string;
  readonly token: string;
  /** Certificate of the authority that signed the box's certificate, in PEM format. */
  readonly ca?: string;
}

/** The box is unreachable, rejected the token, or sent an unexpected response. */
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
  /** Lists the requests that boxes forwarding opaque requests hold back. */
  heldRequests(): ClientResult<readonly HeldRequest[]>;
  /** Releases a held request; resolves to false if it is not held. */
  releaseRequest(fingerprint: string): ClientResult<boolean>;
  /** Lists the targets with active rate limits, as known to a box that forwards opaque requests. */
  limitedTargets(): ClientResult<readonly LimitedTarget[]>;
  /** Calls `onEvent` for each event until the connection ends or `signal` is aborted. */
  watch(
    after: Revision | undefined,
    onEvent: (event: WatchEvent) => void,
    signal: AbortSignal,
  ): ClientResult<void>;
}

interface RawResponse {
  readonly status: number;
  readonly text: string;
}

function parseAs<T>(text: string): Either<RequestFailure, T> {
  return Either.encase(() => JSON.parse(text) as T).mapLeft(({ message }) => ({
    kind: "unexpected",
    reason: `invalid JSON: ${message}`,
  }));
}

const unauthorizedStatus = 401;
/** Status codes whose body is a `WriteResponse`. */
const writeStatuses = [200, 409, 422, 504];
/** Status codes of a release, successful or not found. */
const releaseStatuses = [200, 404];

/** Creates a client for one box. */
export function createOperatorClient(endpoint: BoxEndpoint): OperatorClient {
  const send = (
    method: string,
    path: string,
    body: string,
    onText: (text: string) => void,
    signal?: AbortSignal,
  ) =>
    new Promise<Either<RequestFailure, RawResponse>>((resolve) => {
      const startRequest = endpoint.url.startsWith("https:") ? tlsRequest : plainRequest;
      const fail = (error: Error) =>
        resolve(Left({ kind: "unreachable", reason: `${endpoint.url}: ${error.message}` }));
      const headers = {
        authorization: `Bearer ${endpoint.token}`,
        "content-type": "application/json",
      };
      const options = { method, headers, signal, ca: endpoint.ca, agent: false as const };
      const outgoing = startRequest(new URL(path, endpoint.url), options, (incoming) => {
        let text = "";
        incoming.setEncoding("utf8");
        incoming.on("data", (chunk: string) => {
          text += chunk;
          onText(chunk);
        });
        incoming.on("end", () => {
          if (!isComplete()) return fail(new Error("the response was truncated"));
          resolve(Right({ status: incoming.statusCode ?? 0, text }));
        });
        incoming.on("error", fail);
      });
      const isComplete = watchCompleteness(outgoing);
      outgoing.on("error", fail);
      outgoing.end(body);
    });

  const requestJson = async <T>(
    method: string,
    path: string,
    body: unknown,
    statuses: readonly number[],
  ): ClientResult<T> => {
    const requestBody = body === undefined ? "" : JSON.stringify(body);
    const response = await send(method, path, requestBody, () => undefined);
    return response.chain((raw): Either<RequestFailure, T> => {
      if (raw.status === unauthorizedStatus) {
        return Left({ kind: "unauthenticated", reason: "the box rejected this token" });
      }
      if (statuses.includes(raw.status)) return parseAs<T>(raw.text);
      return Left({ kind: "unexpected", reason: `status ${raw.status}: ${raw.text.trim()}` });
    });
  };
  const get = <T>(path: string) => requestJson<T>("GET", path, undefined, [200]);

  return {
    resources: () => get<ResourcesResponse>("/v1/resources"),
    write: (changes) =>
      requestJson<WriteResponse>("POST", "/v1/writes", { changes }, writeStatuses),
    status: () => get<StatusResponse>("/v1/status"),
    async boxes() {
      const response = await get<{ boxes: readonly BoxSummary[] }>("/v1/boxes");
      return response.map(({ boxes }) => boxes);
    },
    audit: () => get<AuditResponse>("/v1/audit"),
    async heldRequests() {
      const response = await get<{ held: readonly HeldRequest[] }>(heldRequestsPath);
      return response.map(({ held }) => held);
    },
    async releaseRequest(fingerprint) {
      const path = `${heldRequestsPath}?request=${encodeURIComponent(fingerprint)}`;
      const response = await requestJson<{ released: boolean }>(
        "DELETE",
        path,
        undefined,
        releaseStatuses,
      );
      return response.map(({ released }) => released);
    },
    async limitedTargets() {
      const response = await get<{ limited: readonly LimitedTarget[] }>(limitedTargetsPath);
      return response.map(({ limited }) => limited);
    },
    async watch(after, onEvent, signal) {
      const onMessage = (message: EventSourceMessage) =>
        onEvent(JSON.parse(message.data) as WatchEvent);
      const parser = createParser({ onEvent: onMessage });
      const query = after === undefined ? "" : `?after=${after}`;
      const response = await send(
        "GET",
        `/v1/watch${query}`,
        "",
        (text) => parser.feed(text),
        signal,
      );
      return response.chain((raw): Either<RequestFailure, void> =>
        raw.status === 200
          ? Right(undefined)
          : Left({ kind: "unexpected", reason: `status ${raw.status}` }),
      );
    },
  };
}
