/** The form in which a request that is held back is kept, in a stream of the store or a record of the log. */
import { z } from "zod";

/** Longest name of a request that is taken from outside. */
const longestFingerprint = 64;

export const heldRequestSchema = z.object({
  request: z.string().min(1).max(longestFingerprint),
  revision: z.int().positive(),
  held: z.boolean(),
  service: z.string(),
  route: z.string(),
  account: z.string().optional(),
  targets: z.array(z.string()),
  since: z.string(),
});
