/** `linkfall held` and `linkfall release` */
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

const exampleUrl = "http://10.0.0.3:9464";

export class HeldCommand extends OperatorCommand {
  static override paths = [["held"]];
  static override usage = Command.Usage({
    description:
      "list the requests, prompt parts and adapters that are held back because targets terminated under them",
    details: "Queries a box that forwards opaque requests, at its metrics address.",
    examples: [["List all held requests", `linkfall held --box ${exampleUrl}`]],
  });

  async execute(): Promise<ExitCode> {
    const headers = [
      "FINGERPRINT",
      "KIND",
      "TEXT",
      "SINCE",
      "SERVICE",
      "ROUTE",
      "ACCOUNT",
      "TARGETS",
    ];
    return this.handleResult(await this.client().heldRequests(), (held) =>
      this.printValue(held, headers, () =>
        held.map((entry) => [
          entry.request,
          entry.kind ?? "request",
          entry.text ?? "",
          entry.since,
          entry.service,
          entry.route,
          entry.account ?? "",
          entry.targets.join(","),
        ]),
      ),
    );
  }
}

export class ReleaseCommand extends OperatorCommand {
  static override paths = [["release"]];
  static override usage = Command.Usage({
    description: "release a request, prompt part or adapter that is held back",
    details: "Queries a box that forwards opaque requests, at its metrics address.",
    examples: [["Release by fingerprint", `linkfall release 3f0c51d2a8b94e67 --box ${exampleUrl}`]],
  });

  request = Option.String({ name: "REQUEST" });

  async execute(): Promise<ExitCode> {
    const result = await this.client().releaseRequest(this.request);
    return this.handleResult(result, (released): ExitCode => {
      if (released) this.printLine(`released ${this.request}`);
      else this.printError(`${this.request} is not held back`);
      return released ? exitCodes.success : exitCodes.notFound;
    });
  }
}
