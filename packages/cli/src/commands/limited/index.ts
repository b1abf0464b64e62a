/** `linkfall limited` */
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

const millisecondsPerSecond = 1000;

export class LimitedCommand extends OperatorCommand {
  static override paths = [["limited"]];
  static override usage = Command.Usage({
    description: "list the targets that have announced a rate limit",
    details: "Queries a box that forwards opaque requests, at its metrics address.",
    examples: [["List all limited targets", "linkfall limited --box http://10.0.0.3:9464"]],
  });

  async execute(): Promise<ExitCode> {
    const headers = ["TARGET", "REQUESTS PER SECOND", "EXPIRES IN SECONDS"];
    return this.handleResult(await this.client().limitedTargets(), (targets) =>
      this.printValue(targets, headers, () =>
        targets.map(({ target, perSecond, forMs }) => [
          target,
          String(perSecond),
          String(Math.round(forMs / millisecondsPerSecond)),
        ]),
      ),
    );
  }
}
