/** What a job has come to over all of its attempts. */

export interface Progress {
  /** Text that has been passed on. */
  text: string;
  /** Position of the next token. */
  nextPosition: number;
  /** Whether any attempt may have been started. */
  mayHaveRun: boolean;
  /** Targets that failed this job; they are not tried again for it. */
  readonly failedTargets: Set<string>;
}

/** The progress of a job that has not begun. */
export function createProgress(): Progress {
  return { text: "", nextPosition: 0, mayHaveRun: false, failedTargets: new Set() };
}
