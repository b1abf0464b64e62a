/** Progress of a job across all of its attempts. */

export interface Progress {
  /** Text that has been forwarded to the caller. */
  text: string;
  /** Position of the next token to forward. */
  nextPosition: number;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  /** Targets that failed this job and are not tried again for it. */
  readonly failedTargets: Set<string>;
}

/** Creates the progress of a job without attempts. */
export function createProgress(): Progress {
  return { text: "", nextPosition: 0, mayHaveRun: false, failedTargets: new Set() };
}
