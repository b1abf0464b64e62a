/** Thrown when an invariant does not hold, which means a bug in linkfall. It stops the process. */
export class InvariantBroken extends Error {
  constructor(
    /** Stable name of the invariant, listed in docs/PROMISES.md. */
    readonly invariant: string,
    detail: string,
  ) {
    super(`invariant ${invariant} broken: ${detail}`);
    this.name = "InvariantBroken";
  }
}

/**
 * Throws if `holds` is false, which stops the process.
 *
 * @throws InvariantBroken, which is never caught inside linkfall.
 */
export function invariant(
  holds: boolean,
  name: string,
  detail: () => string = () => "",
): asserts holds {
  if (!holds) throw new InvariantBroken(name, detail());
}
