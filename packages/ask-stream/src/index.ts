/**
 * The stream of small messages to one other box. Many may be under way; each has a number by which its
 * answer is known. When one gets no answer in time, the connection is given up, and the next message
 * dials again: after a cut a fresh connection is there at once, an old one only when TCP tries again.
 */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

/** A message or its answer, as it stands on the stream. */
export interface NumberedMessage<Body> {
  readonly number: number;
  readonly body: Body | undefined;
}

export interface RequestStream<Ask, Answer> {
  request(body: Ask): Promise<Either<PeerUnreachable, Answer>>;
  close(): void;
}

/** A stream on a connection that nothing else uses. */
export interface DialledStream<Ask, Answer> {
  readonly stream: ClientDuplexStream<NumberedMessage<Ask>, NumberedMessage<Answer>>;
  /** Closes the connection beneath. */
  close(): void;
}

interface Connection<Ask, Answer> extends DialledStream<Ask, Answer> {
  readonly pending: Map<number, (result: Either<PeerUnreachable, Answer>) => void>;
}

/**
 * Creates the stream to one box; it is opened by the first message.
 *
 * @param timeoutMs longest wait for one answer
 * @param dial opens a stream on a connection of its own
 */
export function createRequestStream<Ask, Answer>(
  clock: Clock,
  timeoutMs: Milliseconds,
  dial: () => DialledStream<Ask, Answer>,
): RequestStream<Ask, Answer> {
  let open: Connection<Ask, Answer> | undefined;
  let lastNumber = 0;

  /** Ends a connection; what is under way on it gets no answer. */
  const failConnection = (connection: Connection<Ask, Answer>, reason: string) => {
    if (open === connection) open = undefined;
    const failure = { kind: "peer_unreachable", reason, mayHaveArrived: true } as const;
    for (const answer of connection.pending.values()) answer(Left(failure));
    connection.pending.clear();
    connection.stream.cancel();
    connection.close();
  };

  const connect = (): Connection<Ask, Answer> => {
    const connection: Connection<Ask, Answer> = { ...dial(), pending: new Map() };
    connection.stream.on("data", ({ number, body }: NumberedMessage<Answer>) => {
      if (body !== undefined) connection.pending.get(number)?.(Right(body));
      connection.pending.delete(number);
    });
    connection.stream.on("error", (problem) => failConnection(connection, problem.message));
    connection.stream.on("end", () =>
      failConnection(connection, "the other box has ended the stream"),
    );
    return connection;
  };

  return {
    request: (body) =>
      new Promise((resolve) => {
        const connection = (open ??= connect());
        const number = ++lastNumber;
        const cancel = clock.after(timeoutMs, () =>
          failConnection(connection, "no answer in time"),
        );
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
