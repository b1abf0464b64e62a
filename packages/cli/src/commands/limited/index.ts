/** `linkfall limited` */
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

const millisecondsPerSecond = 1000;

export class LimitedCommand extends OperatorCommand {
  static override paths = [["limited"]];
  static override usage = Command.Usage({
    description: "show the targets that have named the requests a second that they take",
    details: "Asks a box that forwards opaque requests, at the address of its metrics.",
    examples: [["All of them", "linkfall limited --box http://10.0.0.3:9464"]],
  });

  async execute(): Promise<ExitCode> {
    const heads = ["TARGET", "REQUESTS A SECOND", "FOR SECONDS"];
    return this.handleResult(await this.client().limitedTargets(), (limited) =>
      this.printValue(limited, heads, () =>
        limited.map(({ target, perSecond, forMs }) => [
          target,
          String(perSecond),
          String(Math.round(forMs / millisecondsPerSecond)),
        ]),
      ),
    );
  }
}
