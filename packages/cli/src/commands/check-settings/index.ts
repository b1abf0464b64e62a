/** `linkfall check-settings FILE` */
import { readFileSync } from "node:fs";
import { describeSettings, readSettings } from "@linkfall/config";
import { readEntrySettings } from "@linkfall/entry-settings";
import type { InvalidInput } from "@linkfall/errors";
import { Command, Option } from "clipanion";
import type { Either } from "purify-ts";
import { type ExitCode, exitCodes } from "../../exit-codes.js";

export class CheckSettingsCommand extends Command {
  static override paths = [["check-settings"]];
  static override usage = Command.Usage({
    description: "check the settings file of a box",
    details:
      "Names every wrong key with the reason. With --describe it prints the reference of all keys instead.",
    examples: [["Check a file", "linkfall check-settings box.ini"]],
  });

  file = Option.String({ required: false });
  forwarding = Option.Boolean("--forwarding", false, {
    description: "the file is of a box that forwards opaque requests",
  });
  describe = Option.Boolean("--describe", false, {
    description: "print the reference of all keys",
  });

  async execute(): Promise<ExitCode> {
    if (this.describe) {
      this.context.stdout.write(describeSettings());
      return exitCodes.success;
    }
    if (this.file === undefined) {
      this.context.stderr.write("linkfall: name a settings file\n");
      return exitCodes.invalid;
    }
    const text = readFileSync(this.file, "utf8");
    const checked: Either<InvalidInput, unknown> = this.forwarding
      ? readEntrySettings(text)
      : readSettings(text);
    return checked.caseOf<ExitCode>({
      Left: ({ problems }) => {
        for (const { field, reason } of problems) {
          this.context.stderr.write(`${this.file}: ${field}: ${reason}\n`);
        }
        return exitCodes.invalid;
      },
      Right: () => {
        this.context.stdout.write(`${this.file}: valid\n`);
        return exitCodes.success;
      },
    });
  }
}
