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
export interface Numbered<Body> {
  readonly number: number;
  readonly body: Body | undefined;
}

export interface AskStream<Ask, Answer> {
  ask(body: Ask): Promise<Either<PeerUnreachable, Answer>>;
  close(): void;
}

/** A stream on a connection that nothing else uses. */
export interface DialledStream<Ask, Answer> {
  readonly stream: ClientDuplexStream<Numbered<Ask>, Numbered<Answer>>;
  /** Closes the connection beneath. */
  close(): void;
}

interface Connection<Ask, Answer> extends DialledStream<Ask, Answer> {
  readonly pending: Map<number, (result: Either<PeerUnreachable, Answer>) => void>;
}

/**
 * Creates the stream to one box; it is opened by the first message.
 *
 * @param limit longest wait for one answer
 * @param dial opens a stream on a connection of its own
 */
export function createAskStream<Ask, Answer>(
  clock: Clock,
  limit: Milliseconds,
  dial: () => DialledStream<Ask, Answer>,
): AskStream<Ask, Answer> {
  let open: Connection<Ask, Answer> | undefined;
  let asked = 0;

  /** Ends a connection; what is under way on it gets no answer. */
  const giveUp = (connection: Connection<Ask, Answer>, reason: string) => {
    if (open === connection) open = undefined;
    const failure = { kind: "peer_unreachable", reason, mayHaveArrived: true } as const;
    for (const answer of connection.pending.values()) answer(Left(failure));
    connection.pending.clear();
    connection.stream.cancel();
    connection.close();
  };

  const connect = (): Connection<Ask, Answer> => {
    const connection: Connection<Ask, Answer> = { ...dial(), pending: new Map() };
    connection.stream.on("data", ({ number, body }: Numbered<Answer>) => {
      if (body !== undefined) connection.pending.get(number)?.(Right(body));
      connection.pending.delete(number);
    });
    connection.stream.on("error", (problem) => giveUp(connection, problem.message));
    connection.stream.on("end", () => giveUp(connection, "the other box has ended the stream"));
    return connection;
  };

  return {
    ask: (body) =>
      new Promise((resolve) => {
        const connection = (open ??= connect());
        const number = ++asked;
        const cancel = clock.after(limit, () => giveUp(connection, "no answer in time"));
        connection.pending.set(number, (result) => {
          cancel();
          resolve(result);
        });
        connection.stream.write({ number, body });
      }),
    close() {
      if (open) giveUp(open, "closed");
    },
  };
}
