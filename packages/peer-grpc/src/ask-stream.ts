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
import type { Answer, Ask, PeerClient } from "./generated/peer.js";

export type AskBody = NonNullable<Ask["body"]>;
export type AnswerBody = NonNullable<Answer["body"]>;

export interface AskStream {
  ask(body: AskBody): Promise<Either<PeerUnreachable, AnswerBody>>;
  close(): void;
}

interface Connection {
  readonly client: PeerClient;
  readonly stream: ClientDuplexStream<Ask, Answer>;
  readonly pending: Map<number, (result: Either<PeerUnreachable, AnswerBody>) => void>;
}

/**
 * Creates the stream to one box; it is opened by the first message.
 *
 * @param limit longest wait for one answer
 * @param dial opens a client whose connection nothing else uses
 */
export function createAskStream(
  clock: Clock,
  limit: Milliseconds,
  dial: () => PeerClient,
): AskStream {
  let open: Connection | undefined;
  let asked = 0;

  /** Ends a connection; what is under way on it gets no answer. */
  const giveUp = (connection: Connection, reason: string) => {
    if (open === connection) open = undefined;
    const failure = { kind: "peer_unreachable", reason, mayHaveArrived: true } as const;
    for (const answer of connection.pending.values()) answer(Left(failure));
    connection.pending.clear();
    connection.stream.cancel();
    connection.client.close();
  };

  const connect = (): Connection => {
    const client = dial();
    const connection: Connection = { client, stream: client.exchange(), pending: new Map() };
    connection.stream.on("data", ({ number, body }: Answer) => {
      if (body) connection.pending.get(number)?.(Right(body));
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
