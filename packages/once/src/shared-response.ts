/** Buffers a response that is read to its end even if the caller disconnects, and that further callers can read. */
import type { BodyPart, CallerResponse } from "@linkfall/ports";

export interface SharedResponse {
  /** Creates a response for another reader, starting at the first byte. */
  createReader(): CallerResponse;
  /** Resolves when the body has ended. */
  readonly finished: Promise<void>;
  /** Number of buffered bytes. */
  sizeBytes(): number;
  /** Whether the body has ended without an error. */
  isComplete(): boolean;
}

/** Starts reading the response immediately. */
export function shareResponse(response: CallerResponse): SharedResponse {
  const parts: BodyPart[] = [];
  let done = false;
  let size = 0;
  let resolveChanged: () => void = () => undefined;
  let changed = new Promise<void>((resolve) => (resolveChanged = resolve));

  const notifyReaders = () => {
    const notify = resolveChanged;
    changed = new Promise<void>((resolve) => (resolveChanged = resolve));
    notify();
  };
  const add = (part: BodyPart) => {
    parts.push(part);
    size += part.map((bytes) => bytes.length).orDefault(0);
    notifyReaders();
  };
  const readAll = async (body: AsyncIterable<BodyPart>) => {
    for await (const part of body) add(part);
    done = true;
    notifyReaders();
  };

  async function* read(): AsyncGenerator<BodyPart> {
    for (let index = 0; ; index++) {
      while (index >= parts.length && !done) await changed;
      if (index >= parts.length) return;
      yield parts[index];
    }
  }

  if (response.body instanceof Uint8Array) {
    const bytes = response.body;
    return {
      createReader: () => response,
      finished: Promise.resolve(),
      sizeBytes: () => bytes.length,
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
