/** Validates held requests read from a stream of the store or from a log record. */
import { z } from "zod";

const maxFingerprintLength = 64;
const maxTextLength = 64;

export const heldRequestSchema = z.object({
  request: z.string().min(1).max(maxFingerprintLength),
  // A kind of a later build is held by its fingerprint all the same.
  kind: z
    .enum(["request", "prompt part", "prompt beginning", "adapter"])
    .optional()
    .catch(undefined),
  text: z.string().max(maxTextLength).optional().catch(undefined),
  revision: z.int().positive(),
  held: z.boolean(),
  service: z.string(),
  route: z.string(),
  account: z.string().optional(),
  targets: z.array(z.string()),
  evidence: z
    .object({ crashes: z.number(), served: z.number(), byChance: z.number(), weight: z.number() })
    .optional()
    .catch(undefined),
  since: z.string(),
});
