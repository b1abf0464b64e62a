/** `linkfall get [KIND [NAME]]` */
import type { StoredResource } from "@linkfall/types";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

export class GetCommand extends OperatorCommand {
  static override paths = [["get"]];
  static override usage = Command.Usage({
    description: "show desired state",
    details: "Kinds: deployment, account, pool, model, adapter, engine, service.",
    examples: [
      ["All models", "linkfall get model"],
      ["One engine as JSON", "linkfall get engine e1 --output json"],
    ],
  });

  kind = Option.String({ required: false });
  name = Option.String({ required: false });

  async execute(): Promise<ExitCode> {
    const answer = await this.client().resources();
    return this.handleResult(answer, ({ resources }) => {
      const found = resources.filter((entry) => this.matches(entry));
      if (this.name !== undefined && found.length === 0) {
        this.printError(`there is no ${this.kind} "${this.name}"`);
        return exitCodes.notFound;
      }
      this.showResources(found);
      return exitCodes.success;
    });
  }

  private matches({ resource }: StoredResource): boolean {
    if (this.kind !== undefined && resource.kind !== this.kind) return false;
    return this.name === undefined || resource.name === this.name;
  }

  private showResources(found: readonly StoredResource[]): void {
    const rows = () =>
      found.map(({ resource, revision, who }) => {
        const { kind, name, ...rest } = resource;
        return [kind, name, revision, who, JSON.stringify(rest)];
      });
    this.printValue(found, ["KIND", "NAME", "REVISION", "BY", "FIELDS"], rows);
  }
}
