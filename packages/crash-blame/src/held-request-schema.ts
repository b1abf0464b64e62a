/** Validates held requests read from a stream of the store or from a log record. */
import { z } from "zod";

const maxFingerprintLength = 64;

export const heldRequestSchema = z.object({
  request: z.string().min(1).max(maxFingerprintLength),
  revision: z.int().positive(),
  held: z.boolean(),
  service: z.string(),
  route: z.string(),
  account: z.string().optional(),
  targets: z.array(z.string()),
  since: z.string(),
});
