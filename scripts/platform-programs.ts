/** The platform's programs, as the commands of the deploy file run them. */
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { BundledProgram } from './bundle.ts'

/** A program and the role of the deploy file that runs it. */
export interface PlatformProgram extends BundledProgram {
  readonly role: string
}

const SOURCES: Readonly<Record<string, string>> = {
  'hickoryspoke-front.js': 'platform/src/front-main.ts',
  'hickoryspoke-core.js': 'platform/src/core-main.ts'
}
/** A role of the deploy file and its command: the flags of Node.js and the name of the program. */
const COMMAND = /^\[roles\.(.+)\]\nrun = "node (.*) target\/(\S+)"$/gm

/** Programs that the deploy file runs, with their flags. */
export async function readPlatformPrograms (): Promise<PlatformProgram[]> {
  const deployFile = await readFile('deploy/system.toml', 'utf8')
  const commands = [...deployFile.matchAll(COMMAND)]
  return commands.map(([, role = '', flags = '', name = '']) => ({ role, name, source: SOURCES[name] ?? '', flags: flags.split(' ') }))
}

/** The arguments of Node.js with which a bundled program is run. */
export function programArguments (program: PlatformProgram, folder: string): string[] {
  return [...program.flags, join(folder, program.name)]
}
