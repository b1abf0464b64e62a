/** A broken invariant is a defect of linkfall itself. It is the only thing that stops the process. */
export class InvariantBroken extends Error {
  constructor(
    /** Short stable name of the invariant, listed in docs/PROMISES.md. */
    readonly invariant: string,
    detail: string,
  ) {
    super(`invariant ${invariant} broken: ${detail}`);
    this.name = "InvariantBroken";
  }
}

/**
 * Stops the process when `holds` is false.
 *
 * @throws InvariantBroken, which nothing inside linkfall catches.
 */
export function invariant(
  holds: boolean,
  name: string,
  detail: () => string = () => "",
): asserts holds {
  if (!holds) throw new InvariantBroken(name, detail());
}
