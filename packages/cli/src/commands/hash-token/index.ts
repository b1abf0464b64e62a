/** `linkfall hash-token` */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { Command } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";

const standardInputHandle = 0;

export class HashTokenCommand extends Command {
  static override paths = [["hash-token"]];
  static override usage = Command.Usage({
    description: "print the hash of a token read from standard input",
    details:
      "The hash goes into an account's tokenHash, or into [operators] tokens of the settings. The token itself is stored nowhere.",
    examples: [["Hash a token", "printf %s my-token | linkfall hash-token"]],
  });

  async execute(): Promise<ExitCode> {
    const token = readFileSync(standardInputHandle, "utf8").trim();
    this.context.stdout.write(`${createHash("sha256").update(token).digest("hex")}\n`);
    return exitCodes.success;
  }
}
