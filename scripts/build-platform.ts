/** Bundles the platform's programs under `target/`, for the commands of the deploy file. */
import { readFile } from 'node:fs/promises'
import { bundlePrograms, type BundledProgram } from './bundle.ts'

const FOLDER = 'target'
const SOURCES: Readonly<Record<string, string>> = {
  'hickoryspoke-front.js': 'platform/src/front-main.ts',
  'hickoryspoke-core.js': 'platform/src/core-main.ts'
}
/** A command of the deploy file: the flags of Node.js and the name of the program. */
const COMMAND = /^run = "node (.*) target\/(\S+)"$/gm

/** Programs that the deploy file runs, with their flags. */
async function readPrograms (): Promise<BundledProgram[]> {
  const deployFile = await readFile('deploy/system.toml', 'utf8')
  const commands = [...deployFile.matchAll(COMMAND)]
  return commands.map(([, flags = '', name = '']) => ({ name, source: SOURCES[name] ?? '', flags: flags.split(' ') }))
}

await bundlePrograms(FOLDER, await readPrograms())
