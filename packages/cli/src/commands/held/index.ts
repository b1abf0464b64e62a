/** `linkfall held` and `linkfall release` */
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

const boxUrl = "http://10.0.0.3:9464";

export class HeldCommand extends OperatorCommand {
  static override paths = [["held"]];
  static override usage = Command.Usage({
    description: "show the requests that are held back since targets ended under them",
    details: "Asks a box that forwards opaque requests, at the address of its metrics.",
    examples: [["All of them", `linkfall held --box ${boxUrl}`]],
  });

  async execute(): Promise<ExitCode> {
    const heads = ["REQUEST", "SINCE", "SERVICE", "ROUTE", "ACCOUNT", "TARGETS"];
    return this.handleResult(await this.client().heldRequests(), (held) =>
      this.printValue(held, heads, () =>
        held.map((word) => [
          word.request,
          word.since,
          word.service,
          word.route,
          word.account ?? "",
          word.targets.join(","),
        ]),
      ),
    );
  }
}

export class ReleaseCommand extends OperatorCommand {
  static override paths = [["release"]];
  static override usage = Command.Usage({
    description: "let a request through again that is held back",
    details: "Asks a box that forwards opaque requests, at the address of its metrics.",
    examples: [["One of them", `linkfall release 3f0c51d2a8b94e67 --box ${boxUrl}`]],
  });

  request = Option.String({ name: "REQUEST" });

  async execute(): Promise<ExitCode> {
    const released = await this.client().releaseRequest(this.request);
    return this.handleResult(released, (done): ExitCode => {
      if (done) this.printLine(`released ${this.request}`);
      else this.printError(`${this.request} is not held back`);
      return done ? exitCodes.success : exitCodes.notFound;
    });
  }
}
