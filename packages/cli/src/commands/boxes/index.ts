/** `linkfall boxes` */
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

export class BoxesCommand extends OperatorCommand {
  static override paths = [["boxes"]];
  static override usage = Command.Usage({
    description: "list the boxes known to the queried box",
    examples: [["List the boxes", "linkfall boxes"]],
  });

  async execute(): Promise<ExitCode> {
    const headers = ["BOX", "STATE", "DOMAIN", "CALLERS", "INCARNATION", "POOLS"];
    return this.handleResult(await this.client().boxes(), (boxes) =>
      this.printValue(boxes, headers, () =>
        boxes.map((box) => [
          box.box,
          box.state,
          box.domain,
          box.callerAddress,
          box.incarnation,
          box.pools.join(","),
        ]),
      ),
    );
  }
}
