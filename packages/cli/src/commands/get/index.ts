/** `linkfall get [KIND [NAME]]` */
import type { StoredResource } from "@linkfall/types";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

export class GetCommand extends OperatorCommand {
  static override paths = [["get"]];
  static override usage = Command.Usage({
    description: "show the desired state",
    details: "Kinds: deployment, account, pool, model, adapter, engine, service.",
    examples: [
      ["All models", "linkfall get model"],
      ["One engine as JSON", "linkfall get engine e1 --output json"],
    ],
  });

  kind = Option.String({ required: false });
  name = Option.String({ required: false });

  async execute(): Promise<ExitCode> {
    const result = await this.client().resources();
    return this.handleResult(result, ({ resources }) => {
      const selected = resources.filter((entry) => this.matches(entry));
      if (this.name !== undefined && selected.length === 0) {
        this.printError(`${this.kind} "${this.name}" does not exist`);
        return exitCodes.notFound;
      }
      this.showResources(selected);
      return exitCodes.success;
    });
  }

  private matches({ resource }: StoredResource): boolean {
    if (this.kind !== undefined && resource.kind !== this.kind) return false;
    return this.name === undefined || resource.name === this.name;
  }

  private showResources(selected: readonly StoredResource[]): void {
    const rows = () =>
      selected.map(({ resource, revision, who }) => {
        const { kind, name, ...rest } = resource;
        return [kind, name, revision, who, JSON.stringify(rest)];
      });
    this.printValue(selected, ["KIND", "NAME", "REVISION", "BY", "FIELDS"], rows);
  }
}
