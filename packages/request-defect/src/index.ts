/** Reports exceptions in the handling of one request, which end that request and not the process. */
import type { Logger } from "@linkfall/logger";

/** The request that an exception has ended. */
export interface DefectiveRequest {
  /** Id of the request, once its headers have been read. */
  readonly request?: string;
  readonly path: string;
}

/** Logs the exception with its stack. */
export function reportDefect(
  logger: Logger,
  { request, path }: DefectiveRequest,
  defect: unknown,
): void {
  const problem = defect instanceof Error ? (defect.stack ?? defect.message) : String(defect);
  logger.event("requestDefect", { request, path, problem });
}
