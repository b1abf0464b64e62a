/**
 * Request-response messages to one other box, multiplexed over one stream and correlated by number. If a request times out and
 * nothing has arrived on the connection meanwhile, the connection is closed and the next request opens a new one, which avoids
 * waiting for TCP retransmissions after a network failure. Other answers show that the box is late only.
 */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

/** A request or a response on the stream. */
export interface NumberedMessage<Body> {
  readonly number: number;
  readonly body: Body | undefined;
}

export interface RequestStream<Request, Response> {
  request(body: Request): Promise<Either<PeerUnreachable, Response>>;
  close(): void;
}

/** A stream on a dedicated connection. */
export interface DialledStream<Request, Response> {
  readonly stream: ClientDuplexStream<NumberedMessage<Request>, NumberedMessage<Response>>;
  /** Closes the underlying connection. */
  close(): void;
}

interface Connection<Request, Response> extends DialledStream<Request, Response> {
  readonly pending: Map<number, (result: Either<PeerUnreachable, Response>) => void>;
  /** When a message has arrived last. */
  heardAt: Milliseconds;
}

const timedOut: PeerUnreachable = {
  kind: "peer_unreachable",
  reason: "the request timed out",
  mayHaveArrived: true,
};
const noAnswer: PeerUnreachable = {
  kind: "peer_unreachable",
  reason: "the other box has no answer to such a message",
  mayHaveArrived: true,
};

/**
 * Creates the stream to one box. The connection is opened by the first request.
 *
 * @param timeoutMs timeout of one request
 * @param dial opens a stream on a new connection
 */
export function createRequestStream<Request, Response>(
  clock: Clock,
  timeoutMs: Milliseconds,
  dial: () => DialledStream<Request, Response>,
): RequestStream<Request, Response> {
  let open: Connection<Request, Response> | undefined;
  let lastNumber = 0;

  /** Closes a connection and fails its pending requests. */
  const failConnection = (connection: Connection<Request, Response>, reason: string) => {
    if (open === connection) open = undefined;
    const failure = { kind: "peer_unreachable", reason, mayHaveArrived: true } as const;
    for (const settle of connection.pending.values()) settle(Left(failure));
    connection.pending.clear();
    connection.stream.cancel();
    connection.close();
  };

  const connect = (): Connection<Request, Response> => {
    const connection: Connection<Request, Response> = {
      ...dial(),
      pending: new Map(),
      heardAt: -Infinity,
    };
    connection.stream.on("data", ({ number, body }: NumberedMessage<Response>) => {
      connection.heardAt = clock.now();
      // A box of an earlier version has no answer to a kind of message that it does not know.
      connection.pending.get(number)?.(body === undefined ? Left(noAnswer) : Right(body));
      connection.pending.delete(number);
    });
    connection.stream.on("error", (problem) => failConnection(connection, problem.message));
    connection.stream.on("end", () => failConnection(connection, "the other box ended the stream"));
    return connection;
  };

  return {
    request: (body) =>
      new Promise((resolve) => {
        const connection = (open ??= connect());
        const number = ++lastNumber;
        const sentAt = clock.now();
        const cancel = clock.after(timeoutMs, () => {
          if (connection.heardAt <= sentAt) return failConnection(connection, timedOut.reason);
          connection.pending.delete(number);
          resolve(Left(timedOut));
        });
        connection.pending.set(number, (result) => {
          cancel();
          resolve(result);
        });
        connection.stream.write({ number, body });
      }),
    close() {
      if (open) failConnection(open, "closed");
    },
  };
}
