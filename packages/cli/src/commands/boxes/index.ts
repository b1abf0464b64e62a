/** `linkfall boxes` */
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

export class BoxesCommand extends OperatorCommand {
  static override paths = [["boxes"]];
  static override usage = Command.Usage({
    description: "show the boxes as the asked one sees them",
    examples: [["Boxes as a table", "linkfall boxes"]],
  });

  async execute(): Promise<ExitCode> {
    const heads = ["BOX", "STATE", "DOMAIN", "CALLERS", "INCARNATION", "POOLS"];
    return this.handleResult(await this.client().boxes(), (boxes) =>
      this.printValue(boxes, heads, () =>
        boxes.map((line) => [
          line.box,
          line.state,
          line.domain,
          line.callerAddress,
          line.incarnation,
          line.pools.join(","),
        ]),
      ),
    );
  }
}
