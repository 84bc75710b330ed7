/** Bundles each program into one file under `dist/bin/` that runs without `node_modules`. */
import { chmod, mkdir, rm, writeFile } from 'node:fs/promises'
import { build } from 'esbuild'

const PROGRAMS = [
  { name: 'hickoryspoke-entry', source: 'packages/entry/src/entry-main.ts' },
  { name: 'hickoryspoke-control', source: 'packages/control/src/control-main.ts' },
  { name: 'hickoryspoke', source: 'packages/operator/src/operator-main.ts' },
  { name: 'hickoryspoke-bench', source: 'packages/bench/src/bench-main.ts' }
] as const

await rm('dist', { recursive: true, force: true })
await mkdir('dist/bin', { recursive: true })
await writeFile('dist/package.json', '{ "type": "commonjs" }\n')
for (const program of PROGRAMS) {
  const outfile = `dist/bin/${program.name}`
  await build({
    entryPoints: [program.source],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    banner: { js: '#!/usr/bin/env node' },
    logLevel: 'warning'
  })
  await chmod(outfile, 0o755)
}
