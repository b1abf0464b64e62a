/** An answer that is read to its end whether or not its caller stays, and that others may read too. */
import type { BodyPart, CallerResponse } from "@linkfall/ports";

export interface SharedResponse {
  /** A response of its own for one more reader, from the first byte on. */
  createReader(): CallerResponse;
  /** Resolves when the last part is in. */
  readonly finished: Promise<void>;
  /** Bytes held. */
  sizeBytes(): number;
  /** Whether the body came to its end whole. */
  isComplete(): boolean;
}

/** Begins to read the answer at once. */
export function shareResponse(response: CallerResponse): SharedResponse {
  const parts: BodyPart[] = [];
  let done = false;
  let size = 0;
  let wake: () => void = () => undefined;
  let changed = new Promise<void>((resolve) => (wake = resolve));

  const announce = () => {
    const wakeReaders = wake;
    changed = new Promise<void>((resolve) => (wake = resolve));
    wakeReaders();
  };
  const add = (part: BodyPart) => {
    parts.push(part);
    size += part.map((bytes) => bytes.length).orDefault(0);
    announce();
  };
  const readAll = async (body: AsyncIterable<BodyPart>) => {
    for await (const part of body) add(part);
    done = true;
    announce();
  };

  async function* read(): AsyncGenerator<BodyPart> {
    for (let index = 0; ; index++) {
      while (index >= parts.length && !done) await changed;
      if (index >= parts.length) return;
      yield parts[index];
    }
  }

  if (response.body instanceof Uint8Array) {
    const whole = response.body;
    return {
      createReader: () => response,
      finished: Promise.resolve(),
      sizeBytes: () => whole.length,
      isComplete: () => true,
    };
  }
  const finished = readAll(response.body);
  return {
    createReader: () => ({ ...response, body: read() }),
    finished,
    sizeBytes: () => size,
    isComplete: () => done && parts.every((part) => part.isRight()),
  };
}
