/** Exit codes, listed in docs/operators/command-line.md. */
export const exitCodes = {
  success: 0,
  /** The input is not valid; nothing was applied. */
  invalid: 2,
  /** Another operator's change came first; nothing was applied. */
  conflict: 3,
  /** The box could not be asked. */
  unreachable: 4,
  /** The log did not answer in time; the change may have been accepted. */
  outcomeUnknown: 5,
  /** There are differences. */
  differs: 6,
  /** There is no such resource. */
  notFound: 7,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
