/** One fault found in outside input. `path` leads to the value, outermost name first. */
export interface Issue {
  readonly code: string
  readonly path: readonly (string | number)[]
  readonly message: string
}

/** Base of every failure of the product: `code` is stable and machine-readable. */
export abstract class Failure extends Error {
  abstract readonly code: string
}

/** A failure that carries the list of faults found in outside input. */
export class InvalidInput extends Failure {
  readonly code = 'invalid_input'

  private constructor (readonly issues: readonly Issue[]) {
    super(issues.map(formatIssue).join('; '))
  }

  static create (issues: readonly Issue[]): InvalidInput {
    return new InvalidInput(issues)
  }
}

/** An issue on one line, for people. */
export function formatIssue (issue: Issue): string {
  const path = issue.path.join('.')
  return path === '' ? `${issue.message} (${issue.code})` : `${path}: ${issue.message} (${issue.code})`
}

/** The text of anything thrown. */
export function describeError (thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}
